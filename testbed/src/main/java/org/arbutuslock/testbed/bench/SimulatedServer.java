package org.arbutuslock.testbed.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.detection.HealthDetector;
import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.ServiceTimeEstimator;
import org.arbutuslock.internal.detection.TrafficClass;

/**
 * Simulates one backend server with slots and an internal queue, and the request queue of its home
 * node. The fault and the noise of a {@link DetectionCase} change service times and outcomes.
 */
final class SimulatedServer {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double CANCEL_NANOS = 10 * NANOS_PER_SECOND;
    private static final double MAXIMUM_QUEUE_NANOS = 2 * NANOS_PER_SECOND;
    private static final double SHORT_MEDIAN_NANOS = 20 * NANOS_PER_MILLI;
    private static final double PROBE_MEDIAN_NANOS = 25 * NANOS_PER_MILLI;
    private static final double LONG_FACTOR = 20;
    private static final double PLAIN_SIGMA = 0.6;

    /** Makes the 99th percentile 20 times the median, since exp(1.29 * 2.33) = 20. */
    private static final double HEAVY_SIGMA = 1.29;

    private static final double FAILING_SHARE = 0.3;
    private static final double HANGING_SHARE = 0.2;
    private static final double SLOW_FACTOR = 5;
    private static final double STUCK_SHARE = 1 / 5_000.0;

    private record Waiting(TrafficClass trafficClass, double sinceNanos) {}

    private static final class Running {
        TrafficClass mTrafficClass;
        double mEndNanos;
        boolean mProgresses;
        ServiceTimeEstimator.Ticket mTicket;
        Outcome mOutcome;
        int mStallReports;
    }

    /** Receives each outcome that the home node observes. */
    interface Observer {
        void observe(TrafficClass trafficClass, long serviceNanos, Outcome outcome);
    }

    private final DetectionCase mCase;
    private final RandomGenerator mRandom;
    private final ServiceTimeEstimator mServiceTimeEstimator;
    private final double[] mSlotFreeNanos;
    private final ArrayDeque<Waiting> mQueue = new ArrayDeque<>();
    private final List<Running> mRunning = new ArrayList<>();
    private final int mInFlightLimit;
    private double mNextArrivalNanos;
    private double mNextPauseNanos;
    private double mPausedUntilNanos;
    boolean mFaulty;

    SimulatedServer(DetectionCase benchCase, RandomGenerator random, Clock clock) {
        mServiceTimeEstimator = new ServiceTimeEstimator(benchCase.slots(), clock);
        mCase = benchCase;
        mRandom = random;
        mSlotFreeNanos = new double[benchCase.slots()];
        mInFlightLimit = 2 * benchCase.slots();
        mNextPauseNanos = random.nextDouble(60) * NANOS_PER_SECOND;
    }

    void step(double nowNanos, double load, GroupCondition condition, Observer observer) {
        pause(nowNanos);
        addArrivals(nowNanos, load);
        finish(nowNanos, observer);
        while (!mQueue.isEmpty() && mRunning.size() < mInFlightLimit) {
            Waiting next = mQueue.remove();
            if (nowNanos - next.sinceNanos() < MAXIMUM_QUEUE_NANOS) {
                dispatch(next.trafficClass(), nowNanos, condition);
            }
        }
    }

    void probe(double nowNanos) {
        mQueue.addFirst(new Waiting(TrafficClass.PROBE, nowNanos));
    }

    private void pause(double nowNanos) {
        if (mCase.noise() != DetectionCase.Noise.PAUSES || nowNanos < mNextPauseNanos) {
            return;
        }
        double lengthNanos = mRandom.nextDouble(0.2, 1.5) * NANOS_PER_SECOND;
        mPausedUntilNanos = nowNanos + lengthNanos;
        mNextPauseNanos = nowNanos + mRandom.nextDouble(10, 50) * NANOS_PER_SECOND;
        for (Running running : mRunning) {
            running.mEndNanos += lengthNanos;
        }
        for (int slot = 0; slot < mSlotFreeNanos.length; slot++) {
            mSlotFreeNanos[slot] = Math.max(mSlotFreeNanos[slot], nowNanos) + lengthNanos;
        }
    }

    private void addArrivals(double nowNanos, double load) {
        double perNano = mCase.requestsPerSecond() * load / NANOS_PER_SECOND;
        while (mNextArrivalNanos <= nowNanos) {
            double longShare = mCase.noise() == DetectionCase.Noise.MIXED ? 0.1 : 0.01;
            TrafficClass trafficClass =
                    mRandom.nextDouble() < longShare ? TrafficClass.LONG : TrafficClass.SHORT;
            mQueue.add(new Waiting(trafficClass, nowNanos));
            mNextArrivalNanos += mRandom.nextExponential() / perNano;
        }
    }

    /** Draws a new time for the next arrival, since the load has changed. */
    void changeLoad(double nowNanos, double load) {
        double perNano = mCase.requestsPerSecond() * load / NANOS_PER_SECOND;
        mNextArrivalNanos = nowNanos + mRandom.nextExponential() / perNano;
    }

    private void finish(double nowNanos, Observer observer) {
        for (int index = mRunning.size() - 1; index >= 0; index--) {
            Running running = mRunning.get(index);
            if (running.mEndNanos <= nowNanos) {
                mRunning.remove(index);
                report(running, observer);
            } else if (!running.mProgresses
                    && running.mStallReports < HealthDetector.MAXIMUM_STALL_REPORTS
                    && mServiceTimeEstimator.elapsedServiceNanos(running.mTicket)
                            >= HealthDetector.STALL_NANOS * (running.mStallReports + 1)) {
                running.mStallReports++;
                observer.observe(running.mTrafficClass, 0, Outcome.STALLED);
            }
        }
    }

    private void report(Running running, Observer observer) {
        long serviceNanos = mServiceTimeEstimator.finish(running.mTicket);
        if (running.mOutcome == Outcome.TIMEOUT) {
            return; // the home node cancelled the request after reporting it as stalled
        }
        boolean late = running.mStallReports > 0 && running.mOutcome == Outcome.OK;
        Outcome outcome = late ? Outcome.LATE : running.mOutcome;
        observer.observe(running.mTrafficClass, serviceNanos, outcome);
    }

    private void dispatch(TrafficClass trafficClass, double nowNanos, GroupCondition condition) {
        int slot = 0;
        for (int other = 1; other < mSlotFreeNanos.length; other++) {
            slot = mSlotFreeNanos[other] < mSlotFreeNanos[slot] ? other : slot;
        }
        Running running = new Running();
        running.mTrafficClass = trafficClass;
        running.mTicket = mServiceTimeEstimator.dispatch();
        running.mOutcome = drawOutcome(trafficClass, condition);
        double startNanos = Math.max(Math.max(nowNanos, mSlotFreeNanos[slot]), mPausedUntilNanos);
        boolean hangs = running.mOutcome == Outcome.TIMEOUT;
        double serviceNanos = drawService(trafficClass) * slowness(condition);
        running.mEndNanos = hangs ? nowNanos + CANCEL_NANOS : startNanos + serviceNanos;
        mSlotFreeNanos[slot] = running.mEndNanos;
        running.mProgresses = trafficClass == TrafficClass.LONG && !hangs;
        mRunning.add(running);
    }

    private double slowness(GroupCondition condition) {
        boolean slow = mFaulty && mCase.fault() == DetectionCase.Fault.SLOW;
        return (slow ? SLOW_FACTOR : 1) * condition.slowness();
    }

    private double drawService(TrafficClass trafficClass) {
        double sigma = mCase.noise() == DetectionCase.Noise.HEAVY_TAIL ? HEAVY_SIGMA : PLAIN_SIGMA;
        double median =
                switch (trafficClass) {
                    case SHORT -> SHORT_MEDIAN_NANOS;
                    case LONG -> SHORT_MEDIAN_NANOS * LONG_FACTOR;
                    case PROBE -> PROBE_MEDIAN_NANOS;
                };
        return median * Math.exp(sigma * mRandom.nextGaussian());
    }

    private Outcome drawOutcome(TrafficClass trafficClass, GroupCondition condition) {
        double draw = mRandom.nextDouble();
        if (mFaulty) {
            Outcome faulty = drawFault(trafficClass, draw);
            if (faulty != Outcome.OK) {
                return faulty;
            }
        }
        boolean stuck = mCase.noise() == DetectionCase.Noise.STUCK;
        if (stuck && mRandom.nextDouble() < STUCK_SHARE) {
            return Outcome.TIMEOUT;
        }
        return mRandom.nextDouble() < condition.errorShare() ? Outcome.WRONG : Outcome.OK;
    }

    private Outcome drawFault(TrafficClass trafficClass, double draw) {
        return switch (mCase.fault()) {
            case NONE, SLOW -> Outcome.OK;
            case WRONG -> draw < FAILING_SHARE ? Outcome.WRONG : Outcome.OK;
            case TRUNCATING -> draw < FAILING_SHARE ? Outcome.TRUNCATED : Outcome.OK;
            case HANGING -> draw < HANGING_SHARE ? Outcome.TIMEOUT : Outcome.OK;
            case MISREPORTING ->
                    trafficClass != TrafficClass.PROBE && draw < FAILING_SHARE
                            ? Outcome.WRONG
                            : Outcome.OK;
        };
    }
}
