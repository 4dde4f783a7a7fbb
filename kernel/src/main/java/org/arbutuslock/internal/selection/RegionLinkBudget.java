package org.arbutuslock.internal.selection;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutuslock.api.Clock;

/** Token bucket that limits the bytes exchanged with other regions. Thread safe and lock-free. */
public final class RegionLinkBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final double mNanosPerByte;
    private final long mBurstNanos;
    // Clock reading at which the bucket will be full again.
    private final AtomicLong mFullAtNanos;

    /**
     * Creates a full bucket.
     *
     * @param clock clock of the refill
     * @param bytesPerSecond refill rate: this node's share of the link, at least 1
     * @param burst capacity of the bucket, as the time in which the rate refills it
     */
    public RegionLinkBudget(Clock clock, long bytesPerSecond, Duration burst) {
        mClock = clock;
        mNanosPerByte = NANOS_PER_SECOND / bytesPerSecond;
        mBurstNanos = burst.toNanos();
        mFullAtNanos = new AtomicLong(clock.nanoTime());
    }

    /**
     * Takes bytes from the bucket if it holds enough.
     *
     * @param bytes expected bytes of request and response
     * @return true when the bytes were taken
     */
    public boolean tryTake(long bytes) {
        long now = mClock.nanoTime();
        while (true) {
            long current = mFullAtNanos.get();
            long next = later(current, now) + (long) (bytes * mNanosPerByte);
            if (next - now > mBurstNanos) {
                return false;
            }
            if (mFullAtNanos.compareAndSet(current, next)) {
                return true;
            }
        }
    }

    /**
     * Takes bytes whether the bucket holds them or not.
     *
     * @param bytes expected bytes of request and response
     */
    public void take(long bytes) {
        settle(0, bytes);
    }

    /**
     * Replaces expected bytes that were taken by those that were transferred. The bucket may become
     * negative.
     *
     * @param expectedBytes bytes that were taken
     * @param bytes bytes that were transferred
     */
    public void settle(long expectedBytes, long bytes) {
        long now = mClock.nanoTime();
        long cost = (long) ((bytes - expectedBytes) * mNanosPerByte);
        mFullAtNanos.updateAndGet(current -> later(later(current, now) + cost, now));
    }

    private static long later(long left, long right) {
        return left - right > 0 ? left : right;
    }
}
