package org.arbutuslock.internal.detection;

import org.HdrHistogram.ShortCountsHistogram;

/** Counters and latency histogram of one traffic class for one period. */
final class ObservationBucket {
    static final int MAXIMUM_MICROS = 60_000_000;
    private static final int MINIMUM_MICROS = 100;

    /**
     * Significant decimal digits of the histogram. One digit keeps a histogram below 1 KB; its
     * error of 10% is small enough to recognize a latency ratio of 5.
     */
    private static final int SIGNIFICANT_DIGITS = 1;

    /** Keeps every counter of the histogram below its overflow at 32,767. */
    private static final int MAXIMUM_SAMPLES = 30_000;

    final ShortCountsHistogram mLatency =
            new ShortCountsHistogram(MINIMUM_MICROS, MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    int mSamples;
    int mRequests;
    int mFailed;
    int mStalled;
    int mRefused;

    void recordLatency(long micros) {
        if (mSamples < MAXIMUM_SAMPLES) {
            mSamples++;
            mLatency.recordValue(Math.clamp(micros, MINIMUM_MICROS, MAXIMUM_MICROS));
        }
    }

    int countAbove(double micros) {
        if (mSamples == 0 || micros >= MAXIMUM_MICROS) {
            return 0;
        }
        long next = mLatency.nextNonEquivalentValue((long) micros);
        return (int) mLatency.getCountBetweenValues(next, MAXIMUM_MICROS);
    }

    void add(ObservationBucket other) {
        mRequests += other.mRequests;
        mFailed += other.mFailed;
        mStalled += other.mStalled;
        mRefused += other.mRefused;
        if (other.mSamples > 0 && mSamples + other.mSamples < MAXIMUM_SAMPLES) {
            mSamples += other.mSamples;
            mLatency.add(other.mLatency);
        }
    }

    void clear() {
        if (mSamples > 0) {
            mLatency.reset();
        }
        mSamples = 0;
        mRequests = 0;
        mFailed = 0;
        mStalled = 0;
        mRefused = 0;
    }

    HealthDigest.TrafficClassDigest toDigest(ObservationBucket latencies) {
        return new HealthDigest.TrafficClassDigest(
                mRequests,
                mFailed,
                mStalled,
                mRefused,
                latencies.mSamples,
                quantile(latencies, 50),
                quantile(latencies, 90));
    }

    static int quantile(ObservationBucket bucket, double percent) {
        return bucket.mSamples == 0 ? 0 : (int) bucket.mLatency.getValueAtPercentile(percent);
    }
}
