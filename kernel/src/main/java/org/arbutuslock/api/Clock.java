package org.arbutuslock.api;

/**
 * Source of time for all policies of a node. Tests use a {@link ManualClock} instead of the system
 * clock to control time.
 *
 * <pre>{@code
 * long start = clock.nanoTime();
 * long elapsed = clock.nanoTime() - start;
 * }</pre>
 */
public interface Clock {
    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds since an arbitrary origin; only differences are meaningful
     */
    long nanoTime();

    /**
     * Returns the wall-clock time, for display and for incarnation numbers only.
     *
     * @return milliseconds since the Unix epoch
     */
    long wallTimeMillis();

    /**
     * Returns the clock of the Java runtime.
     *
     * @return a clock that reads {@link System#nanoTime()} and {@link System#currentTimeMillis()}
     */
    static Clock system() {
        return new Clock() {
            @Override
            public long nanoTime() {
                return System.nanoTime();
            }

            @Override
            public long wallTimeMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
