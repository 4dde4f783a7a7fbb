package org.arbutuslock.testbed.bench;

import java.util.ArrayDeque;
import java.util.function.BiConsumer;
import org.arbutuslock.internal.admission.Completion;

/** Backend server with a number of slots and a short queue; it sheds requests that exceed both. */
final class SimulatedBackend {
    private static final int BACKLOG = 2;

    private final Simulation mSimulation;
    private final int mSlots;
    private final BiConsumer<SimulatedRequest, Completion> mListener;
    private final ArrayDeque<SimulatedRequest> mBacklog = new ArrayDeque<>();
    private int mBusySlots;

    SimulatedBackend(
            Simulation simulation, int slots, BiConsumer<SimulatedRequest, Completion> listener) {
        mSimulation = simulation;
        mSlots = slots;
        mListener = listener;
    }

    void accept(SimulatedRequest request) {
        if (mBusySlots < mSlots) {
            start(request);
        } else if (mBacklog.size() < BACKLOG) {
            mBacklog.add(request);
        } else {
            mSimulation.schedule(0, () -> mListener.accept(request, Completion.SHED));
        }
    }

    private void start(SimulatedRequest request) {
        mBusySlots++;
        mSimulation.schedule(request.serviceNanos(), () -> finish(request));
    }

    private void finish(SimulatedRequest request) {
        mBusySlots--;
        if (!mBacklog.isEmpty()) {
            start(mBacklog.poll());
        }
        mListener.accept(request, Completion.SUCCESS);
    }
}
