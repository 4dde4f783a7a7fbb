package org.arbutuslock.daemon.internal.store;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;

/**
 * Exponential back-off between connection attempts. The wait doubles with each failure up to a
 * maximum. Half of the wait is random, so that nodes that lost their connections at the same time
 * do not reconnect at the same time. Not thread-safe.
 */
final class ReconnectBackoff {
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final long mInitialNanos;
    private final long mMaximumNanos;
    private long mWaitNanos;
    private long mRetryAtNanos;
    private boolean mWaiting;

    ReconnectBackoff(Clock clock, RandomGenerator random, Duration initial, Duration maximum) {
        mClock = clock;
        mRandom = random;
        mInitialNanos = initial.toNanos();
        mMaximumNanos = maximum.toNanos();
    }

    boolean mayConnect() {
        if (mWaiting && mClock.nanoTime() - mRetryAtNanos >= 0) {
            mWaiting = false;
        }
        return !mWaiting;
    }

    void recordFailure() {
        mWaitNanos = mWaitNanos == 0 ? mInitialNanos : Math.min(mMaximumNanos, mWaitNanos * 2);
        long half = mWaitNanos / 2;
        mRetryAtNanos = mClock.nanoTime() + half + mRandom.nextLong(half + 1);
        mWaiting = true;
    }

    void recordSuccess() {
        mWaitNanos = 0;
        mWaiting = false;
    }
}
