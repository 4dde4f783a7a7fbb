package org.arbutuslock.internal.selection;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutuslock.api.Clock;

/** Token bucket for the bytes that this node may send to other regions. Lock-free. */
public final class RegionLinkBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private final double mNanosPerByte;
    private final long mBurstNanos;
    // Time at which the bucket is full again.
    private final AtomicLong mFullAtNanos;

    /**
     * Creates a full bucket.
     *
     * @param clock time
     * @param bytesPerSecond this node's share of the link, at least 1
     * @param burst time for which the rate may be used at once
     */
    public RegionLinkBudget(Clock clock, long bytesPerSecond, Duration burst) {
        mClock = clock;
        mNanosPerByte = NANOS_PER_SECOND / bytesPerSecond;
        mBurstNanos = burst.toNanos();
        mFullAtNanos = new AtomicLong(clock.nanoTime());
    }

    /**
     * Takes bytes if they are available.
     *
     * @param bytes expected bytes of request and response
     * @return true when they were taken
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
     * Takes bytes that were sent beyond the expected ones; the bucket may become overdrawn.
     *
     * @param bytes bytes already sent
     */
    public void charge(long bytes) {
        long now = mClock.nanoTime();
        long cost = (long) (bytes * mNanosPerByte);
        mFullAtNanos.updateAndGet(current -> later(current, now) + cost);
    }

    private static long later(long left, long right) {
        return left - right > 0 ? left : right;
    }
}
