package org.arbutuslock.internal.detection;

/** Keeps one to two periods of a lane, so that old observations leave without a timestamp each. */
final class RotatingBucket {
    private final long mPeriodNanos;
    private LaneBucket mCurrent = new LaneBucket();
    private LaneBucket mPrevious = new LaneBucket();
    private long mStartNanos;

    RotatingBucket(long periodNanos, long nowNanos) {
        mPeriodNanos = periodNanos;
        mStartNanos = nowNanos;
    }

    void add(LaneBucket bucket, long nowNanos) {
        if (nowNanos - mStartNanos >= mPeriodNanos) {
            LaneBucket reused = mPrevious;
            mPrevious = mCurrent;
            mCurrent = reused;
            mCurrent.clear();
            mStartNanos = nowNanos;
        }
        mCurrent.add(bucket);
    }

    void copyTo(LaneBucket target) {
        target.clear();
        target.add(mPrevious);
        target.add(mCurrent);
    }
}
