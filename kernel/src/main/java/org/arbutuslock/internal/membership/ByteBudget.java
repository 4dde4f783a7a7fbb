package org.arbutuslock.internal.membership;

import java.time.Duration;
import org.arbutuslock.api.Clock;

/**
 * Token bucket that limits bytes per second. A message may take more than is available; the budget
 * is then negative, by at most the burst size, and later messages wait until it is refilled.
 */
final class ByteBudget {
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final Clock mClock;
    private final int mBytesPerSecond;
    private final int mBurstBytes;
    private double mAvailable;
    private long mUpdatedNanos;

    ByteBudget(Clock clock, int bytesPerSecond, int burstBytes) {
        mClock = clock;
        mBytesPerSecond = bytesPerSecond;
        mBurstBytes = burstBytes;
        mAvailable = burstBytes;
        mUpdatedNanos = clock.nanoTime();
    }

    int available() {
        long now = mClock.nanoTime();
        double earned = mBytesPerSecond * ((now - mUpdatedNanos) / NANOS_PER_SECOND);
        mAvailable = Math.min(mBurstBytes, mAvailable + earned);
        mUpdatedNanos = now;
        return (int) mAvailable;
    }

    void spend(int bytes) {
        mAvailable = Math.max(-mBurstBytes, mAvailable - bytes);
    }
}
