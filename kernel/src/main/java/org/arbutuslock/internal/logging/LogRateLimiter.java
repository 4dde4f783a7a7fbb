package org.arbutuslock.internal.logging;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the lines of one event per second and counts what was left out. Any thread; never blocks.
 *
 * <pre>{@code
 * long leftOut = limit.tryTake(clock.nanoTime());
 * if (leftOut >= 0) { log(..., leftOut); }
 * }</pre>
 */
public final class LogRateLimiter {
    /** Returned when a line must be left out. */
    public static final long SUPPRESSED = -1;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final int mLinesPerSecond;
    private final AtomicLong mWindowNanos = new AtomicLong(Long.MIN_VALUE);
    private final AtomicLong mLines = new AtomicLong();
    private final AtomicLong mLeftOut = new AtomicLong();

    /**
     * Creates a limit.
     *
     * @param linesPerSecond most lines in one second, at least 1
     */
    public LogRateLimiter(int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /**
     * Asks for one line.
     *
     * @param nowNanos reading of the clock
     * @return lines left out since the last one that was written, or {@link #SUPPRESSED}
     */
    public long tryAcquire(long nowNanos) {
        long window = mWindowNanos.get();
        boolean expired = window == Long.MIN_VALUE || nowNanos - window >= SECOND_NANOS;
        if (expired && mWindowNanos.compareAndSet(window, nowNanos)) {
            mLines.set(0);
        }
        if (mLines.incrementAndGet() > mLinesPerSecond) {
            mLeftOut.incrementAndGet();
            return SUPPRESSED;
        }
        return mLeftOut.getAndSet(0);
    }
}
