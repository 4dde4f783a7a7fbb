package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.admission.AdmissionController;
import org.arbutuslock.internal.admission.Completion;

/** Simulates one backend server with an admission policy and records the outcome of requests. */
final class AdmissionScenario {
    static final int WINDOW_MILLIS = 500;
    static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
    static final int LONG_FACTOR = 20;

    private static final double SHORT_FIXED_NANOS = 10e6;
    private static final double SHORT_RANDOM_NANOS = 10e6;
    private static final double SHORT_MEAN_NANOS = SHORT_FIXED_NANOS + SHORT_RANDOM_NANOS;
    private static final long SHORT_DEADLINE_NANOS = 500_000_000L;
    private static final long LONG_DEADLINE_NANOS = 10_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Counts of one time window of {@link #WINDOW_MILLIS}. */
    static final class Window {
        long mWorkInDeadlineNanos;
        long mShortLatencyNanos;
        int mShortCompleted;
        int mRefused;
        int mLate;
    }

    private final Simulation mSimulation = new Simulation();
    private final SplittableRandom mRandom;
    private final int mSlots;
    private final AdmissionPolicy mPolicy;
    private final SimulatedBackend mBackend;
    private final List<Window> mWindows = new ArrayList<>();
    private final Histogram mShortLatency = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mRefusalLatency = new Histogram(SIGNIFICANT_DIGITS);
    private int mSteadyDownloads;

    AdmissionScenario(long seed, int slots, boolean controlled) {
        mRandom = new SplittableRandom(seed);
        mSlots = slots;
        mBackend = new SimulatedBackend(mSimulation, slots, this::finish);
        AdmissionPolicy.Effects effects = createEffects();
        mPolicy =
                controlled
                        ? new ControlledPolicy(mSimulation.clock(), slots, effects)
                        : new FirstInFirstOutPolicy(slots, effects);
        schedulePoll();
    }

    private AdmissionPolicy.Effects createEffects() {
        return new AdmissionPolicy.Effects() {
            @Override
            public void dispatch(SimulatedRequest request) {
                mBackend.accept(request);
            }

            @Override
            public void refuse(SimulatedRequest request) {
                mRefusalLatency.recordValue(mSimulation.now() - request.arrivedNanos());
                window().mRefused++;
                replaceDownload(request);
            }
        };
    }

    private void schedulePoll() {
        long interval = TimeUnit.MILLISECONDS.toNanos(AdmissionController.POLL_INTERVAL_MILLIS);
        mSimulation.schedule(
                interval,
                () -> {
                    mPolicy.poll();
                    schedulePoll();
                });
    }

    /**
     * Runs the simulation with Poisson arrivals of short and long requests.
     *
     * @param loadOfCapacity offered work as a multiple of the capacity
     * @param longShareOfWork share of the offered work, not of the requests, that is long
     * @param durationNanos simulated time
     */
    void runLoad(double loadOfCapacity, double longShareOfWork, long durationNanos) {
        long end = mSimulation.now() + durationNanos;
        double slotNanos = mSlots * loadOfCapacity;
        double longMean = SHORT_MEAN_NANOS * LONG_FACTOR;
        scheduleArrival(WorkClass.SHORT, slotNanos * (1 - longShareOfWork) / SHORT_MEAN_NANOS, end);
        scheduleArrival(WorkClass.LONG, slotNanos * longShareOfWork / longMean, end);
        mSimulation.runUntil(end);
    }

    private void scheduleArrival(WorkClass workClass, double ratePerNano, long end) {
        if (ratePerNano <= 0) {
            return;
        }
        long delay = (long) (exponential() / ratePerNano);
        if (mSimulation.now() + delay >= end) {
            return;
        }
        mSimulation.schedule(
                delay,
                () -> {
                    offer(workClass);
                    scheduleArrival(workClass, ratePerNano, end);
                });
    }

    /** Keeps a constant number of downloads waiting or running until the end of the simulation. */
    void holdDownloads(int count) {
        mSteadyDownloads = count;
        for (int download = 0; download < count; download++) {
            offer(WorkClass.LONG);
        }
    }

    private void replaceDownload(SimulatedRequest request) {
        if (mSteadyDownloads > 0 && request.workClass() == WorkClass.LONG) {
            mSimulation.schedule(WINDOW_NANOS / WINDOW_MILLIS, () -> offer(WorkClass.LONG));
        }
    }

    private void offer(WorkClass workClass) {
        boolean isShort = workClass == WorkClass.SHORT;
        double service = SHORT_FIXED_NANOS + SHORT_RANDOM_NANOS * exponential();
        long now = mSimulation.now();
        mPolicy.offer(
                new SimulatedRequest(
                        workClass,
                        now,
                        now + (isShort ? SHORT_DEADLINE_NANOS : LONG_DEADLINE_NANOS),
                        (long) (isShort ? service : service * LONG_FACTOR)));
    }

    private double exponential() {
        return -Math.log(1 - mRandom.nextDouble());
    }

    private void finish(SimulatedRequest request, Completion completion) {
        if (completion == Completion.SUCCESS) {
            recordSuccess(request);
        }
        mPolicy.finish(request, completion);
        replaceDownload(request);
    }

    private void recordSuccess(SimulatedRequest request) {
        long now = mSimulation.now();
        Window window = window();
        if (now <= request.deadlineNanos()) {
            window.mWorkInDeadlineNanos += request.serviceNanos();
        } else {
            window.mLate++;
        }
        if (request.workClass() == WorkClass.SHORT) {
            mShortLatency.recordValue(now - request.arrivedNanos());
            window.mShortLatencyNanos += now - request.arrivedNanos();
            window.mShortCompleted++;
        }
    }

    private Window window() {
        int index = (int) (mSimulation.now() / WINDOW_NANOS);
        while (mWindows.size() <= index) {
            mWindows.add(new Window());
        }
        return mWindows.get(index);
    }

    /**
     * Returns the windows between two simulated times; windows without requests have zero counts.
     */
    List<Window> windows(long fromNanos, long toNanos) {
        int to = (int) (toNanos / WINDOW_NANOS);
        while (mWindows.size() < to) {
            mWindows.add(new Window());
        }
        return mWindows.subList((int) (fromNanos / WINDOW_NANOS), to);
    }

    void resetHistograms() {
        mShortLatency.reset();
        mRefusalLatency.reset();
    }

    Histogram shortLatency() {
        return mShortLatency;
    }

    Histogram refusalLatency() {
        return mRefusalLatency;
    }

    long now() {
        return mSimulation.now();
    }
}
