package org.arbutuslock.internal.ejection;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.detection.HealthAssessment;

/**
 * Runs the coordinators of one service under random faults and checks the claim of {@code
 * docs/ejection.md} against the true state. One step is 20 to 80 ms.
 */
final class FloorSimulation {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final double TARGETED_FAULTS = 0.002;
    private static final long TICK_NANOS = 100 * MILLI;

    /** The rule is disabled by a claimed floor of 0. A slow network delays 1 of 3 messages. */
    record Options(EjectionSettings settings, boolean pledgeRule, boolean slowNetwork) {}

    private record Delivery(long dueNanos, long order, SimulatedEndpoint to, PledgeMessage message)
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
    private final long mLongestDelayNanos;
    private final double mFaultsPerStep;
    private final long mWindowNanos;
    private final int mSlowShare;
    private long mNowNanos;
    private long mOrder;
    private long mDisturbedNanos;
    private boolean mShort;

    FloorSimulation(long seed, Options options) {
        mRandom = new SplittableRandom(seed);
        mOptions = options;
        int size = mRandom.nextInt(4, 15);
        mFloor = mRandom.nextInt(size / 2, size);
        mLoss = mRandom.nextBoolean() ? 0 : mRandom.nextDouble(0.3);
        mDuplication = mRandom.nextDouble(0.2);
        long randomDelayNanos = (long) (5 * MILLI * Math.pow(600, mRandom.nextDouble()));
        mLongestDelayNanos = options.slowNetwork() ? SECOND : randomDelayNanos;
        mSlowShare = options.slowNetwork() ? 3 : 10;
        mFaultsPerStep = mRandom.nextDouble(0.002, 0.03);
        // The bound of the page holds for the standard times, whatever the options are.
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
            mEndpoints.forEach(this::wakeOrTick);
            if (mRandom.nextDouble() < mFaultsPerStep) {
                disturbSome();
            }
            measureShortage();
        }
        mReport.mSteps += steps;
        return mReport;
    }

    private void start(SimulatedEndpoint endpoint) {
        endpoint.mAlive = true;
        endpoint.mPaused = false;
        endpoint.mSickUntilNanos = mNowNanos;
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

    /** The membership's view is sometimes outdated: it may still list dead endpoints. */
    private void updateMembership(SimulatedEndpoint endpoint) {
        boolean outdated = mRandom.nextBoolean();
        List<EndpointId> known = new ArrayList<>();
        for (SimulatedEndpoint other : mEndpoints) {
            if (outdated || other.mAlive) {
                known.add(other.mId);
            }
        }
        int claimedFloor = mOptions.pledgeRule() ? mFloor : 0;
        apply(endpoint, endpoint.mCoordinator.updateService(known, claimedFloor));
    }

    private void wakeOrTick(SimulatedEndpoint endpoint) {
        if (!endpoint.mAlive || endpoint.mPaused) {
            if (mNowNanos >= endpoint.mWakeNanos) {
                wake(endpoint);
            }
        } else if (mNowNanos >= endpoint.mNextTickNanos) {
            endpoint.mNextTickNanos = mNowNanos + TICK_NANOS;
            if (mNowNanos >= endpoint.mNextVerdictNanos) {
                endpoint.mNextVerdictNanos = mNowNanos + SECOND;
                apply(endpoint, endpoint.mCoordinator.observeVerdict(judge(endpoint)));
            } else {
                apply(endpoint, endpoint.mCoordinator.tick());
            }
            finishDrain(endpoint);
        }
    }

    /** Mostly right, sometimes a false alarm. */
    private HealthAssessment judge(SimulatedEndpoint endpoint) {
        double draw = mRandom.nextDouble();
        if (draw < 0.02) {
            return new HealthAssessment.Suspect(0.4, "noise");
        }
        boolean trulySick = mNowNanos < endpoint.mSickUntilNanos;
        boolean sick = (draw < 0.025) != trulySick;
        return sick
                ? new HealthAssessment.Unhealthy(0.9, "slow")
                : new HealthAssessment.Healthy(0, "fast");
    }

    private void wake(SimulatedEndpoint endpoint) {
        if (!endpoint.mAlive) {
            start(endpoint);
            return;
        }
        endpoint.mPaused = false;
        // What arrived during the pause is read first; no tick comes before it.
        List<PledgeMessage> arrived = List.copyOf(endpoint.mInbox);
        endpoint.mInbox.clear();
        arrived.forEach(message -> apply(endpoint, endpoint.mCoordinator.receive(message)));
        apply(endpoint, endpoint.mCoordinator.tick());
    }

    private void finishDrain(SimulatedEndpoint endpoint) {
        if (endpoint.mCoordinator.state() == EndpointState.DRAINING && mRandom.nextInt(100) == 0) {
            apply(endpoint, endpoint.mCoordinator.completeDrain());
            endpoint.mAlive = false;
            endpoint.mWakeNanos = mNowNanos + mRandom.nextLong(20 * SECOND);
        }
    }

    /** One fault in three strikes several endpoints in the same step. */
    private void disturbSome() {
        int kind = mRandom.nextInt(12);
        int struck = mRandom.nextInt(3) == 0 ? mRandom.nextInt(1, mEndpoints.size()) : 1;
        for (int index = 0; index < struck; index++) {
            SimulatedEndpoint endpoint = mEndpoints.get(mRandom.nextInt(mEndpoints.size()));
            if (endpoint.isRunning()) {
                disturb(endpoint, kind);
            }
        }
    }

    private void disturb(SimulatedEndpoint endpoint, int kind) {
        EjectionCoordinator coordinator = endpoint.mCoordinator;
        switch (kind) {
            case 0 -> crash(endpoint);
            case 1 -> pause(endpoint);
            case 2, 3 -> block(endpoint);
            case 4, 5, 6, 7, 8 ->
                    endpoint.mSickUntilNanos = mNowNanos + mRandom.nextLong(10 * SECOND);
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

    /** Strikes just after an endpoint asked for a pledge or gave one, where it hurts most. */
    private void disturbAfter(SimulatedEndpoint from, PledgeMessage message) {
        boolean promising =
                message instanceof PledgeMessage.Request
                        || message instanceof PledgeMessage.Reply reply && reply.granted();
        if (promising && from.isRunning() && mRandom.nextDouble() < TARGETED_FAULTS) {
            disturb(from, mRandom.nextInt(2));
        }
    }

    private void crash(SimulatedEndpoint endpoint) {
        endpoint.mAlive = false;
        endpoint.mWakeNanos = mNowNanos + mRandom.nextLong(15 * SECOND);
        recordDisturbance(endpoint);
    }

    private void pause(SimulatedEndpoint endpoint) {
        endpoint.mPaused = true;
        endpoint.mWakeNanos = mNowNanos + mRandom.nextLong(12 * SECOND);
        recordDisturbance(endpoint);
    }

    private void recordDisturbance(SimulatedEndpoint endpoint) {
        endpoint.mDisturbedNanos = mNowNanos;
        mDisturbedNanos = mNowNanos;
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
                    disturbAfter(endpoint, send.message());
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
     * Most messages are fast; one in ten (or three) takes any time up to ten times the longest
     * delay.
     */
    private void enqueue(SimulatedEndpoint to, PledgeMessage message) {
        long longest =
                mRandom.nextInt(mSlowShare) == 0 ? 10 * mLongestDelayNanos : mLongestDelayNanos / 5;
        long dueNanos = mNowNanos + mRandom.nextLong(longest);
        mNetwork.add(new Delivery(dueNanos, mOrder++, to, message));
    }

    private void check(SimulatedEndpoint endpoint, EjectionAction.ChangeState change) {
        boolean leaves = change.previous().takesWork() && !change.state().takesWork();
        if (!leaves) {
            return;
        }
        if (endpoint.mDeparting) {
            recordDisturbance(endpoint);
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
            } else if (mNowNanos - other.mDisturbedNanos <= mWindowNanos) {
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
        boolean wasShort = mShort;
        mShort = outByChoice && inService < mFloor;
        if (mShort) {
            long sinceNanos = mNowNanos - mDisturbedNanos;
            // One tick and one step pass until the end of the window is noticed.
            boolean tooLong = sinceNanos > mWindowNanos + TICK_NANOS + 80 * MILLI;
            mReport.recordShortage(!wasShort, sinceNanos, tooLong);
        }
    }
}
