package org.arbutuslock.internal.detection;

import org.HdrHistogram.ShortCountsHistogram;

/** Counts of one lane during one bucket of time. */
final class LaneBucket {
    static final int LONGEST_MICROS = 60_000_000;
    private static final int LOWEST_MICROS = 100;

    /** One digit keeps a histogram below 1 KB; 10% is exact enough for ratios of 5. */
    private static final int DIGITS = 1;

    /** A count of the histogram overflows at 32,767. */
    private static final int MOST_SAMPLES = 30_000;

    final ShortCountsHistogram mLatency =
            new ShortCountsHistogram(LOWEST_MICROS, LONGEST_MICROS, DIGITS);
    int mSamples;
    int mRequests;
    int mFailed;
    int mStalled;
    int mRefused;

    void recordLatency(long micros) {
        if (mSamples < MOST_SAMPLES) {
            mSamples++;
            mLatency.recordValue(Math.clamp(micros, LOWEST_MICROS, LONGEST_MICROS));
        }
    }

    int countAbove(double micros) {
        if (mSamples == 0 || micros >= LONGEST_MICROS) {
            return 0;
        }
        long next = mLatency.nextNonEquivalentValue((long) micros);
        return (int) mLatency.getCountBetweenValues(next, LONGEST_MICROS);
    }

    void add(LaneBucket other) {
        mRequests += other.mRequests;
        mFailed += other.mFailed;
        mStalled += other.mStalled;
        mRefused += other.mRefused;
        if (other.mSamples > 0 && mSamples + other.mSamples < MOST_SAMPLES) {
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

    HealthDigest.TrafficClassDigest toDigest(LaneBucket latencies) {
        return new HealthDigest.TrafficClassDigest(
                mRequests,
                mFailed,
                mStalled,
                mRefused,
                latencies.mSamples,
                quantile(latencies, 50),
                quantile(latencies, 90));
    }

    static int quantile(LaneBucket bucket, double percent) {
        return bucket.mSamples == 0 ? 0 : (int) bucket.mLatency.getValueAtPercentile(percent);
    }
}
