package org.arbutuslock.testbed.bench;

import java.util.ArrayDeque;
import org.arbutuslock.internal.admission.Completion;

/** Baseline policy: a fixed concurrency limit and an unbounded first-in first-out queue. */
final class FirstInFirstOutPolicy implements AdmissionPolicy {
    private final int mSlots;
    private final Effects mEffects;
    private final ArrayDeque<SimulatedRequest> mQueue = new ArrayDeque<>();
    private int mInFlight;

    FirstInFirstOutPolicy(int slots, Effects effects) {
        mSlots = slots;
        mEffects = effects;
    }

    @Override
    public void offer(SimulatedRequest request) {
        mQueue.add(request);
        poll();
    }

    @Override
    public void finish(SimulatedRequest request, Completion completion) {
        mInFlight--;
        poll();
    }

    @Override
    public void poll() {
        while (mInFlight < mSlots && !mQueue.isEmpty()) {
            mInFlight++;
            mEffects.dispatch(mQueue.poll());
        }
    }
}
