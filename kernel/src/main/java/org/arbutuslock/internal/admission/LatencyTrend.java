package org.arbutuslock.internal.admission;

/** Latency of one kind of work beside its baseline, which is its latency without overload. */
final class LatencyTrend {
    private static final double SAMPLE_WEIGHT = 0.05;
    // Lets the baseline follow a permanent rise in latency: it covers half of the difference in
    // about 140 completions.
    private static final double BASELINE_RISE_WEIGHT = 0.005;
    // On a backend server with three slots, one request in addition to the slots raises latency to
    // at most 4/3 of the baseline. The rest is headroom for noise in the average.
    private static final double MAXIMUM_LATENCY_RATIO = 2.0;
    // The first completions are averaged, so that one outlier does not become the baseline.
    private static final int WARM_UP_SAMPLES = 20;

    private double mLatencyNanos;
    private double mBaselineNanos;
    private int mSamples;

    void record(long latencyNanos) {
        if (mSamples < WARM_UP_SAMPLES) {
            mSamples++;
            mLatencyNanos += (latencyNanos - mLatencyNanos) / mSamples;
            mBaselineNanos = mLatencyNanos;
            return;
        }
        mLatencyNanos += SAMPLE_WEIGHT * (latencyNanos - mLatencyNanos);
        double above = mLatencyNanos - mBaselineNanos;
        mBaselineNanos += above < 0 ? above : BASELINE_RISE_WEIGHT * above;
    }

    /** Returns the average latency, or 0 before the first sample. */
    double latencyNanos() {
        return mLatencyNanos;
    }

    /** Returns whether the average is well above the baseline. */
    boolean isHigh() {
        return mLatencyNanos > MAXIMUM_LATENCY_RATIO * mBaselineNanos;
    }
}
