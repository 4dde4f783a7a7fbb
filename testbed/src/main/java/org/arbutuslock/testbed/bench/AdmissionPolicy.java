package org.arbutuslock.testbed.bench;

import org.arbutuslock.internal.admission.Completion;

/** Way to admit requests to one simulated backend server. */
interface AdmissionPolicy {
    /** Gets the decisions of a policy. */
    interface Effects {
        void dispatch(SimulatedRequest request);

        void refuse(SimulatedRequest request);
    }

    void offer(SimulatedRequest request);

    void finish(SimulatedRequest request, Completion completion);

    void poll();
}
