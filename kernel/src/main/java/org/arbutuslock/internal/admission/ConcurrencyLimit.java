package org.arbutuslock.internal.admission;

import java.util.Arrays;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.WorkClass;

/**
 * Adaptive limit of the requests in flight at one backend server (additive increase, multiplicative
 * decrease). While the limit is reached, it rises by about one for each {@code limit} completions.
 * It falls when the backend server sheds load, or when the latency of a route rises well above the
 * baseline of that route. Routes are not compared with each other, since their work differs.
 */
final class ConcurrencyLimit {
    private static final double LATENCY_DECREASE = 0.97;
    private static final double SHED_DECREASE = 0.7;

    private final Clock mClock;
    private final AdmissionSettings mSettings;
    private final LatencyTrend[] mClasses = new LatencyTrend[WorkClass.values().length];
    private final RecentRoutes<LatencyTrend> mRoutes = new RecentRoutes<>(LatencyTrend::new);
    private double mLimit;
    private long mRampStartNanos;
    private long mLastShedNanos;

    ConcurrencyLimit(Clock clock, AdmissionSettings settings) {
        mClock = clock;
        mSettings = settings;
        restart();
    }

    /** Starts the ramp of a cold backend server and discards the latency samples. */
    void restart() {
        mLimit = mSettings.maximumLimit();
        mRampStartNanos = mClock.nanoTime();
        mLastShedNanos = mRampStartNanos;
        Arrays.setAll(mClasses, index -> new LatencyTrend());
        mRoutes.clear();
    }

    int limit() {
        return (int) Math.max(1, Math.min(mLimit, rampLimit()));
    }

    private double rampLimit() {
        double elapsed = mClock.nanoTime() - mRampStartNanos;
        double ramp = Math.max(1, mSettings.coldStartRamp().toNanos());
        return 1 + (mSettings.maximumLimit() - 1) * Math.min(1, elapsed / ramp);
    }

    /** Returns the average time from dispatch to completion, or 0 before the first completion. */
    double latencyNanos(WorkClass workClass) {
        return mClasses[workClass.ordinal()].latencyNanos();
    }

    void record(Ticket<?> ticket, long latencyNanos, Completion completion, int inFlight) {
        switch (completion) {
            case SUCCESS -> recordSuccess(ticket, latencyNanos, inFlight);
            case SHED -> recordShed(ticket.workClass());
            case FAILED -> {}
        }
    }

    private void recordSuccess(Ticket<?> ticket, long latencyNanos, int inFlight) {
        mClasses[ticket.workClass().ordinal()].record(latencyNanos);
        LatencyTrend route = mRoutes.findOrAdd(ticket.route());
        route.record(latencyNanos);
        if (route.isHigh()) {
            mLimit = Math.max(1, mLimit * LATENCY_DECREASE);
        } else if (inFlight >= (int) mLimit) {
            mLimit = Math.min(mSettings.maximumLimit(), mLimit + 1 / mLimit);
        }
    }

    /**
     * Reduces the limit at most once in each average latency, so that a burst of refusals counts
     * once.
     */
    private void recordShed(WorkClass workClass) {
        long now = mClock.nanoTime();
        if (now - mLastShedNanos >= latencyNanos(workClass)) {
            mLimit = Math.max(1, mLimit * SHED_DECREASE);
            mLastShedNanos = now;
        }
    }
}
