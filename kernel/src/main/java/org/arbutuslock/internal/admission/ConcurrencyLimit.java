package org.arbutuslock.internal.admission;

import java.util.Arrays;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.WorkClass;

/**
 * Adaptive limit of the requests in flight at one backend server (additive increase, multiplicative
 * decrease). While the limit is reached, it rises by about one for each {@code limit} completions.
 * It falls when the backend server sheds load, or when the latency of a work class rises well above
 * the baseline of that class.
 */
final class ConcurrencyLimit {
    private static final double SAMPLE_WEIGHT = 0.05;
    // Lets the baseline follow a permanent rise in latency: it covers half of the difference in
    // about 140 completions.
    private static final double BASELINE_RISE_WEIGHT = 0.005;
    // On a backend server with three slots, one request in addition to the slots raises latency to
    // at most 4/3 of the baseline. The rest is headroom for noise in the average.
    private static final double MAXIMUM_LATENCY_RATIO = 2.0;
    private static final double LATENCY_DECREASE = 0.97;
    private static final double SHED_DECREASE = 0.7;
    // The first completions are averaged, so that one outlier does not become the baseline.
    private static final int WARM_UP_SAMPLES = 20;

    private final Clock mClock;
    private final AdmissionSettings mSettings;
    private final double[] mLatencyNanos = new double[WorkClass.values().length];
    private final double[] mBaselineNanos = new double[WorkClass.values().length];
    private final int[] mSamples = new int[WorkClass.values().length];
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
        Arrays.fill(mLatencyNanos, 0);
        Arrays.fill(mBaselineNanos, 0);
        Arrays.fill(mSamples, 0);
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
        return mLatencyNanos[workClass.ordinal()];
    }

    void record(WorkClass workClass, long latencyNanos, Completion completion, int inFlight) {
        switch (completion) {
            case SUCCESS -> recordSuccess(workClass.ordinal(), latencyNanos, inFlight);
            case SHED -> recordShed(workClass);
            case FAILED, UNFINISHED -> {}
        }
    }

    private void recordSuccess(int index, long latencyNanos, int inFlight) {
        updateLatency(index, latencyNanos);
        if (mLatencyNanos[index] > MAXIMUM_LATENCY_RATIO * mBaselineNanos[index]) {
            mLimit = Math.max(1, mLimit * LATENCY_DECREASE);
        } else if (inFlight >= (int) mLimit) {
            mLimit = Math.min(mSettings.maximumLimit(), mLimit + 1 / mLimit);
        }
    }

    private void updateLatency(int index, long latencyNanos) {
        if (mSamples[index] < WARM_UP_SAMPLES) {
            mSamples[index]++;
            mLatencyNanos[index] += (latencyNanos - mLatencyNanos[index]) / mSamples[index];
            mBaselineNanos[index] = mLatencyNanos[index];
            return;
        }
        mLatencyNanos[index] += SAMPLE_WEIGHT * (latencyNanos - mLatencyNanos[index]);
        double above = mLatencyNanos[index] - mBaselineNanos[index];
        mBaselineNanos[index] += above < 0 ? above : BASELINE_RISE_WEIGHT * above;
    }

    /**
     * Reduces the limit at most once in each average latency, so that a burst of refusals counts
     * once.
     */
    private void recordShed(WorkClass workClass) {
        long now = mClock.nanoTime();
        if (now - mLastShedNanos >= mLatencyNanos[workClass.ordinal()]) {
            mLimit = Math.max(1, mLimit * SHED_DECREASE);
            mLastShedNanos = now;
        }
    }
}
