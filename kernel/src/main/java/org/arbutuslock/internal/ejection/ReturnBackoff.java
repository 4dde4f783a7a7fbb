package org.arbutuslock.internal.ejection;

/**
 * Exponential back-off before the trial of an ejected endpoint. It doubles after a failed trial and
 * when the endpoint is ejected again soon after its return.
 */
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

    /**
     * Records an ejection. If it happens within twice the maximum back-off after the last return,
     * it doubles the back-off. Otherwise the back-off starts again at its initial value.
     */
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
