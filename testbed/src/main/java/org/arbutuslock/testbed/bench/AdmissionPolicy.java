package org.arbutuslock.testbed.bench;

import org.arbutuslock.internal.admission.Completion;

/** Decides which requests one simulated backend server receives, and when. */
interface AdmissionPolicy {
    /** Carries out the decisions of a policy. */
    interface Effects {
        void dispatch(SimulatedRequest request);

        void refuse(SimulatedRequest request);
    }

    void offer(SimulatedRequest request);

    void finish(SimulatedRequest request, Completion completion);

    void poll();
}
