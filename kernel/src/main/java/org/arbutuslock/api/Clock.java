package org.arbutuslock.api;

/**
 * Gives the time to every policy of a node, so that tests can pause and advance it.
 *
 * <pre>{@code
 * long start = clock.nanoTime();
 * long elapsed = clock.nanoTime() - start;
 * }</pre>
 */
public interface Clock {
    /**
     * Returns a monotonic reading.
     *
     * @return nanoseconds since an arbitrary origin; only differences have a meaning
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
