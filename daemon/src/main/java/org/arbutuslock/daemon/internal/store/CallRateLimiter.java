package org.arbutuslock.daemon.internal.store;

import org.arbutuslock.api.Clock;

/**
 * Limits calls per second with a token bucket. The bucket starts full and holds the calls of one
 * second. Thread-safe.
 */
final class CallRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final int mCallsPerSecond;
    private double mTokens;
    private long mRefilledAtNanos;

    CallRateLimiter(Clock clock, int callsPerSecond) {
        mClock = clock;
        mCallsPerSecond = callsPerSecond;
        mTokens = callsPerSecond;
        mRefilledAtNanos = clock.nanoTime();
    }

    synchronized boolean tryAcquire() {
        long now = mClock.nanoTime();
        double refill = (now - mRefilledAtNanos) * mCallsPerSecond / NANOS_PER_SECOND;
        mTokens = Math.min(mCallsPerSecond, mTokens + refill);
        mRefilledAtNanos = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
