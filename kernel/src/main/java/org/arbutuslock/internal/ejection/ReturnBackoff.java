package org.arbutuslock.internal.ejection;

/** Doubles the time out of service of an endpoint that is ejected again soon after its return. */
final class ReturnBackoff {
    private final long mFirstNanos;
    private final long mLongestNanos;
    private long mCurrentNanos;
    private long mReturnedNanos;
    private boolean mReturned;

    ReturnBackoff(long firstNanos, long longestNanos) {
        mFirstNanos = firstNanos;
        mLongestNanos = longestNanos;
    }

    /** An ejection is a repeated one within twice the longest back-off after the last return. */
    void recordEjection(long nowNanos) {
        if (mCurrentNanos == 0) {
            mCurrentNanos = mFirstNanos;
        } else if (mReturned) {
            boolean repeated = nowNanos - mReturnedNanos < 2 * mLongestNanos;
            mCurrentNanos = repeated ? Math.min(2 * mCurrentNanos, mLongestNanos) : mFirstNanos;
        }
        mReturned = false;
    }

    void recordFailedTrial() {
        mCurrentNanos = Math.min(2 * mCurrentNanos, mLongestNanos);
    }

    void recordReturn(long nowNanos) {
        mReturnedNanos = nowNanos;
        mReturned = true;
    }

    long currentNanos() {
        return mCurrentNanos;
    }
}
