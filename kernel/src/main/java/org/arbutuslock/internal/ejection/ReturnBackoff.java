package org.arbutuslock.internal.ejection;

/** Doubles the time out of service of an endpoint that is ejected again soon after its return. */
final class ReturnBackoff {
    private final long mInitialNanos;
    private final long mMaximumNanos;
    private long mCurrentNanos;
    private long mReturnedNanos;
    private boolean mReturned;

    ReturnBackoff(long initialNanos, long maximumNanos) {
        mInitialNanos = initialNanos;
        mMaximumNanos = maximumNanos;
    }

    /** An ejection is a repeated one within twice the longest back-off after the last return. */
    void recordEjection(long nowNanos) {
        if (mCurrentNanos == 0) {
            mCurrentNanos = mInitialNanos;
        } else if (mReturned) {
            boolean repeated = nowNanos - mReturnedNanos < 2 * mMaximumNanos;
            mCurrentNanos = repeated ? Math.min(2 * mCurrentNanos, mMaximumNanos) : mInitialNanos;
        }
        mReturned = false;
    }

    void recordFailedTrial() {
        mCurrentNanos = Math.min(2 * mCurrentNanos, mMaximumNanos);
    }

    void recordReturn(long nowNanos) {
        mReturnedNanos = nowNanos;
        mReturned = true;
    }

    long currentNanos() {
        return mCurrentNanos;
    }
}
