package org.arbutuslock.internal.ejection;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;

/**
 * Actual state of one endpoint of a {@link FloorSimulation}. Its clock has its own offset and rate
 * error.
 */
final class SimulatedEndpoint {
    static final double CLOCK_RATE_ERROR = 0.05;

    final EndpointId mId;
    final List<ReservationMessage> mInbox = new ArrayList<>();
    final Clock mClock;
    EjectionCoordinator mCoordinator;
    long mIncarnation;
    boolean mAlive;
    boolean mPaused;
    boolean mDeparting;
    long mNextTickNanos;
    long mNextAssessmentNanos;
    long mResumeNanos;
    long mUnhealthyUntilNanos;
    long mLastFaultNanos = Long.MIN_VALUE / 2;

    SimulatedEndpoint(int index, FloorSimulation simulation, RandomGenerator random) {
        mId = new EndpointId("orders", String.format("server-%02d", index));
        double rate = 1 + random.nextDouble(-CLOCK_RATE_ERROR, CLOCK_RATE_ERROR);
        long offset = random.nextLong();
        mClock =
                new Clock() {
                    @Override
                    public long nanoTime() {
                        return offset + (long) (simulation.nowNanos() * rate);
                    }

                    @Override
                    public long wallTimeMillis() {
                        return simulation.nowNanos() / 1_000_000;
                    }
                };
    }

    boolean isRunning() {
        return mAlive && !mPaused;
    }

    boolean isInService() {
        EndpointState state = mCoordinator.state();
        return isRunning() && (state == EndpointState.IN_SERVICE || state == EndpointState.REDUCED);
    }

    boolean isOutByChoice() {
        return isRunning()
                && switch (mCoordinator.state()) {
                    case EJECTED, TRIAL -> true;
                    case DRAINING -> !mDeparting;
                    default -> false;
                };
    }
}
