package org.arbutuslock.internal.logging;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the lines of a log event per second and counts the suppressed lines. Thread-safe and
 * non-blocking.
 *
 * <pre>{@code
 * long suppressed = limiter.tryAcquire(clock.nanoTime());
 * if (suppressed != LogRateLimiter.SUPPRESSED) { log(..., suppressed); }
 * }</pre>
 */
public final class LogRateLimiter {
    /** Returned when the line must not be written because the limit is reached. */
    public static final long SUPPRESSED = -1;

    private static final long SECOND_NANOS = 1_000_000_000L;

    private final int mLinesPerSecond;
    private final AtomicLong mWindowNanos = new AtomicLong(Long.MIN_VALUE);
    private final AtomicLong mLines = new AtomicLong();
    private final AtomicLong mSuppressed = new AtomicLong();

    /**
     * Creates a limiter.
     *
     * @param linesPerSecond largest number of lines in a second, at least 1
     */
    public LogRateLimiter(int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /**
     * Requests permission to write one line.
     *
     * @param nowNanos current monotonic time in nanoseconds
     * @return number of lines suppressed since the last permitted line, or {@link #SUPPRESSED}
     */
    public long tryAcquire(long nowNanos) {
        long window = mWindowNanos.get();
        boolean expired = window == Long.MIN_VALUE || nowNanos - window >= SECOND_NANOS;
        if (expired && mWindowNanos.compareAndSet(window, nowNanos)) {
            mLines.set(0);
        }
        if (mLines.incrementAndGet() > mLinesPerSecond) {
            mSuppressed.incrementAndGet();
            return SUPPRESSED;
        }
        return mSuppressed.getAndSet(0);
    }
}
