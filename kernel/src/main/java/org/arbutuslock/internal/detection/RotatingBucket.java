package org.arbutuslock.internal.detection;

/**
 * Sliding window over the observations of one traffic class. It covers between one and two periods:
 * the current period and the previous one, which is dropped as a whole. Single observations
 * therefore need no timestamps.
 */
final class RotatingBucket {
    private final long mPeriodNanos;
    private ObservationBucket mCurrent = new ObservationBucket();
    private ObservationBucket mPrevious = new ObservationBucket();
    private long mStartNanos;

    RotatingBucket(long periodNanos, long nowNanos) {
        mPeriodNanos = periodNanos;
        mStartNanos = nowNanos;
    }

    void add(ObservationBucket bucket, long nowNanos) {
        if (nowNanos - mStartNanos >= mPeriodNanos) {
            ObservationBucket reused = mPrevious;
            mPrevious = mCurrent;
            mCurrent = reused;
            mCurrent.clear();
            mStartNanos = nowNanos;
        }
        mCurrent.add(bucket);
    }

    void copyTo(ObservationBucket target) {
        target.clear();
        target.add(mPrevious);
        target.add(mCurrent);
    }
}
