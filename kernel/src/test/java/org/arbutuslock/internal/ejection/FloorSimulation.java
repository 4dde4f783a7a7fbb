package org.arbutuslock.internal.ejection;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.detection.HealthAssessment;

/**
 * Simulates the coordinators of one service under random faults and checks the floor property of
 * {@code docs/ejection.md} against the actual state of all endpoints. A step simulates 20 to 80 ms.
 */
final class FloorSimulation {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final double TARGETED_FAULT_PROBABILITY = 0.002;
    private static final long TICK_NANOS = 100 * MILLI;

    /**
     * Options of a simulation.
     *
     * @param settings settings of all coordinators
     * @param reservationRule whether leaving service requires reservations; if not, the
     *     coordinators get a floor of 0
     * @param slowNetwork whether one of three messages is delayed by up to 10 s, instead of one of
     *     ten by a random maximum
     */
    record Options(EjectionSettings settings, boolean reservationRule, boolean slowNetwork) {}

    private record Delivery(
            long dueNanos, long order, SimulatedEndpoint to, ReservationMessage message)
            implements Comparable<Delivery> {
        @Override
        public int compareTo(Delivery other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final RandomGenerator mRandom;
    private final Options mOptions;
    private final List<SimulatedEndpoint> mEndpoints = new ArrayList<>();
    private final PriorityQueue<Delivery> mNetwork = new PriorityQueue<>();
    private final long[][] mBlockedUntilNanos;
    private final FloorReport mReport = new FloorReport();
    private final int mFloor;
    private final double mLoss;
    private final double mDuplication;
    private final long mMaximumDelayNanos;
    private final double mFaultsPerStep;
    private final long mWindowNanos;
    private final int mMessagesPerSlowOne;
    private long mNowNanos;
    private long mOrder;
    private long mLastFaultNanos;
    private boolean mBelowFloor;

    FloorSimulation(long seed, Options options) {
        mRandom = new SplittableRandom(seed);
        mOptions = options;
        int size = mRandom.nextInt(4, 15);
        mFloor = mRandom.nextInt(size / 2, size);
        mLoss = mRandom.nextBoolean() ? 0 : mRandom.nextDouble(0.3);
        mDuplication = mRandom.nextDouble(0.2);
        long randomDelayNanos = (long) (5 * MILLI * Math.pow(600, mRandom.nextDouble()));
        mMaximumDelayNanos = options.slowNetwork() ? SECOND : randomDelayNanos;
        mMessagesPerSlowOne = options.slowNetwork() ? 3 : 10;
        mFaultsPerStep = mRandom.nextDouble(0.002, 0.03);
        // The documented bound applies to the standard settings, so it must not follow the options:
        // otherwise an unsafe counted duration would also widen the window.
        double counted = EjectionSettings.standard().countedDuration().toNanos();
        mWindowNanos = (long) (counted / (1 - SimulatedEndpoint.CLOCK_RATE_ERROR)) + MILLI;
        mBlockedUntilNanos = new long[size][size];
        for (int index = 0; index < size; index++) {
            mEndpoints.add(new SimulatedEndpoint(index, this, mRandom));
        }
        mEndpoints.forEach(this::start);
    }

    long nowNanos() {
        return mNowNanos;
    }

    FloorReport run(int steps) {
        for (int step = 0; step < steps; step++) {
            mNowNanos += mRandom.nextLong(20 * MILLI, 80 * MILLI);
            deliverDue();
            mEndpoints.forEach(this::resumeOrTick);
            if (mRandom.nextDouble() < mFaultsPerStep) {
                injectFaults();
            }
            measureShortage();
        }
        mReport.mSteps += steps;
        return mReport;
    }

    private void start(SimulatedEndpoint endpoint) {
        endpoint.mAlive = true;
        endpoint.mPaused = false;
        endpoint.mUnhealthyUntilNanos = mNowNanos;
        endpoint.mDeparting = false;
        endpoint.mIncarnation++;
        endpoint.mInbox.clear();
        endpoint.mCoordinator =
                new EjectionCoordinator(
                        endpoint.mId,
                        endpoint.mIncarnation,
                        mOptions.settings(),
                        endpoint.mClock,
                        new SplittableRandom(mRandom.nextLong()),
                        false);
        updateMembership(endpoint);
    }

    /** Sends the members of the service, in half of all cases including endpoints that are down. */
    private void updateMembership(SimulatedEndpoint endpoint) {
        boolean outdated = mRandom.nextBoolean();
        List<EndpointId> known = new ArrayList<>();
        for (SimulatedEndpoint other : mEndpoints) {
            if (outdated || other.mAlive) {
                known.add(other.mId);
            }
        }
        int claimedFloor = mOptions.reservationRule() ? mFloor : 0;
        apply(endpoint, endpoint.mCoordinator.updateService(known, claimedFloor));
    }

    private void resumeOrTick(SimulatedEndpoint endpoint) {
        if (!endpoint.mAlive || endpoint.mPaused) {
            if (mNowNanos >= endpoint.mResumeNanos) {
                resume(endpoint);
            }
        } else if (mNowNanos >= endpoint.mNextTickNanos) {
            endpoint.mNextTickNanos = mNowNanos + TICK_NANOS;
            if (mNowNanos >= endpoint.mNextAssessmentNanos) {
                endpoint.mNextAssessmentNanos = mNowNanos + SECOND;
                apply(endpoint, endpoint.mCoordinator.observeAssessment(drawAssessment(endpoint)));
            } else {
                apply(endpoint, endpoint.mCoordinator.tick());
            }
            finishDrain(endpoint);
        }
    }

    /**
     * Returns a mostly correct assessment: 2% are suspect and 0.5% are the opposite of the truth.
     */
    private HealthAssessment drawAssessment(SimulatedEndpoint endpoint) {
        double draw = mRandom.nextDouble();
        if (draw < 0.02) {
            return new HealthAssessment.Suspect(0.4, "noise");
        }
        boolean actuallyUnhealthy = mNowNanos < endpoint.mUnhealthyUntilNanos;
        boolean unhealthy = (draw < 0.025) != actuallyUnhealthy;
        return unhealthy
                ? new HealthAssessment.Unhealthy(0.9, "slow")
                : new HealthAssessment.Healthy(0, "fast");
    }

    private void resume(SimulatedEndpoint endpoint) {
        if (!endpoint.mAlive) {
            start(endpoint);
            return;
        }
        endpoint.mPaused = false;
        // Messages that arrived during the pause are handled before the first tick.
        List<ReservationMessage> arrived = List.copyOf(endpoint.mInbox);
        endpoint.mInbox.clear();
        arrived.forEach(message -> apply(endpoint, endpoint.mCoordinator.receive(message)));
        apply(endpoint, endpoint.mCoordinator.tick());
    }

    private void finishDrain(SimulatedEndpoint endpoint) {
        if (endpoint.mCoordinator.state() == EndpointState.DRAINING && mRandom.nextInt(100) == 0) {
            apply(endpoint, endpoint.mCoordinator.completeDrain());
            endpoint.mAlive = false;
            endpoint.mResumeNanos = mNowNanos + mRandom.nextLong(20 * SECOND);
        }
    }

    /**
     * Injects one kind of fault. One in three times it may affect several endpoints in this step.
     */
    private void injectFaults() {
        int kind = mRandom.nextInt(12);
        int affected = mRandom.nextInt(3) == 0 ? mRandom.nextInt(1, mEndpoints.size()) : 1;
        for (int index = 0; index < affected; index++) {
            SimulatedEndpoint endpoint = mEndpoints.get(mRandom.nextInt(mEndpoints.size()));
            if (endpoint.isRunning()) {
                injectFault(endpoint, kind);
            }
        }
    }

    private void injectFault(SimulatedEndpoint endpoint, int kind) {
        EjectionCoordinator coordinator = endpoint.mCoordinator;
        switch (kind) {
            case 0 -> crash(endpoint);
            case 1 -> pause(endpoint);
            case 2, 3 -> block(endpoint);
            case 4, 5, 6, 7, 8 ->
                    endpoint.mUnhealthyUntilNanos = mNowNanos + mRandom.nextLong(10 * SECOND);
            case 9 -> apply(endpoint, coordinator.requestDrain("operator"));
            case 10 -> {
                if (mRandom.nextInt(4) == 0) {
                    endpoint.mDeparting = true;
                    apply(endpoint, coordinator.depart("host is replaced"));
                } else {
                    apply(endpoint, coordinator.cancelDrain("operator"));
                }
            }
            default -> updateMembership(endpoint);
        }
    }

    /**
     * Sometimes crashes or pauses an endpoint just after it has requested or granted a reservation,
     * which is when a fault is most likely to violate the floor.
     */
    private void injectFaultAfter(SimulatedEndpoint from, ReservationMessage message) {
        boolean binding =
                message instanceof ReservationMessage.Request
                        || message instanceof ReservationMessage.Reply reply && reply.granted();
        if (binding && from.isRunning() && mRandom.nextDouble() < TARGETED_FAULT_PROBABILITY) {
            injectFault(from, mRandom.nextInt(2));
        }
    }

    private void crash(SimulatedEndpoint endpoint) {
        endpoint.mAlive = false;
        endpoint.mResumeNanos = mNowNanos + mRandom.nextLong(15 * SECOND);
        recordFault(endpoint);
    }

    private void pause(SimulatedEndpoint endpoint) {
        endpoint.mPaused = true;
        endpoint.mResumeNanos = mNowNanos + mRandom.nextLong(12 * SECOND);
        recordFault(endpoint);
    }

    private void recordFault(SimulatedEndpoint endpoint) {
        endpoint.mLastFaultNanos = mNowNanos;
        mLastFaultNanos = mNowNanos;
    }

    private void block(SimulatedEndpoint from) {
        int sender = mEndpoints.indexOf(from);
        int receiver = mRandom.nextInt(mEndpoints.size());
        mBlockedUntilNanos[sender][receiver] = mNowNanos + mRandom.nextLong(30 * SECOND);
    }

    private void deliverDue() {
        while (!mNetwork.isEmpty() && mNetwork.peek().dueNanos() <= mNowNanos) {
            Delivery delivery = mNetwork.remove();
            SimulatedEndpoint to = delivery.to();
            if (to.mPaused) {
                to.mInbox.add(delivery.message());
            } else if (to.mAlive) {
                apply(to, to.mCoordinator.receive(delivery.message()));
            }
        }
    }

    private void apply(SimulatedEndpoint endpoint, List<EjectionAction> actions) {
        for (EjectionAction action : actions) {
            switch (action) {
                case EjectionAction.Send send -> {
                    transmit(endpoint, send);
                    injectFaultAfter(endpoint, send.message());
                }
                case EjectionAction.ChangeState change -> check(endpoint, change);
            }
        }
    }

    private void transmit(SimulatedEndpoint from, EjectionAction.Send send) {
        int sender = mEndpoints.indexOf(from);
        for (int index = 0; index < mEndpoints.size(); index++) {
            SimulatedEndpoint to = mEndpoints.get(index);
            if (!to.mId.equals(send.destination())
                    || mBlockedUntilNanos[sender][index] > mNowNanos) {
                continue;
            }
            if (mRandom.nextDouble() >= mLoss) {
                enqueue(to, send.message());
            }
            if (mRandom.nextDouble() < mDuplication) {
                enqueue(to, send.message());
            }
        }
    }

    /**
     * Enqueues a message with a random delay. Most messages take up to a fifth of the maximum
     * delay; one in ten (one in three in a slow network) takes up to ten times the maximum delay.
     */
    private void enqueue(SimulatedEndpoint to, ReservationMessage message) {
        long maximum =
                mRandom.nextInt(mMessagesPerSlowOne) == 0
                        ? 10 * mMaximumDelayNanos
                        : mMaximumDelayNanos / 5;
        long dueNanos = mNowNanos + mRandom.nextLong(maximum);
        mNetwork.add(new Delivery(dueNanos, mOrder++, to, message));
    }

    private void check(SimulatedEndpoint endpoint, EjectionAction.ChangeState change) {
        boolean leaves = change.previous().takesWork() && !change.state().takesWork();
        if (!leaves) {
            return;
        }
        if (endpoint.mDeparting) {
            recordFault(endpoint);
            return;
        }
        int inService = 0;
        int excused = 0;
        for (SimulatedEndpoint other : mEndpoints) {
            if (other == endpoint) {
                continue;
            }
            if (other.isInService()) {
                inService++;
            } else if (mNowNanos - other.mLastFaultNanos <= mWindowNanos) {
                excused++;
            }
        }
        mReport.recordDeparture(inService, excused, mFloor);
    }

    private void measureShortage() {
        int inService = 0;
        boolean outByChoice = false;
        for (SimulatedEndpoint endpoint : mEndpoints) {
            inService += endpoint.isInService() ? 1 : 0;
            outByChoice |= endpoint.isOutByChoice();
        }
        boolean wasShort = mBelowFloor;
        mBelowFloor = outByChoice && inService < mFloor;
        if (mBelowFloor) {
            long sinceNanos = mNowNanos - mLastFaultNanos;
            // The coordinator notices the end of the window up to one tick and one step later.
            boolean tooLong = sinceNanos > mWindowNanos + TICK_NANOS + 80 * MILLI;
            mReport.recordShortage(!wasShort, sinceNanos, tooLong);
        }
    }
}
