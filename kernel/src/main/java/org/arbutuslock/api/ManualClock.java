package org.arbutuslock.api;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that changes only when {@link #advance} is called, for tests and simulations. Thread-safe.
 *
 * <pre>{@code
 * ManualClock clock = new ManualClock();
 * clock.advance(Duration.ofSeconds(2));
 * }</pre>
 */
public final class ManualClock implements Clock {
    private static final long START_WALL_TIME_MILLIS = 1_700_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final AtomicLong mNanos = new AtomicLong();

    /** Creates a paused clock at monotonic time zero. */
    public ManualClock() {}

    @Override
    public long nanoTime() {
        return mNanos.get();
    }

    @Override
    public long wallTimeMillis() {
        return START_WALL_TIME_MILLIS + mNanos.get() / NANOS_PER_MILLI;
    }

    /**
     * Moves the clock forward.
     *
     * @param step duration to add, not negative
     * @throws IllegalArgumentException when the duration is negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException(
                    "the clock cannot be moved by " + step + "; pass a duration of zero or more");
        }
        mNanos.addAndGet(step.toNanos());
    }
}
