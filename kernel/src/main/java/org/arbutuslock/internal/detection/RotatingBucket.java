package org.arbutuslock.internal.detection;

/** Keeps one to two periods of a lane, so that old observations leave without a timestamp each. */
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
