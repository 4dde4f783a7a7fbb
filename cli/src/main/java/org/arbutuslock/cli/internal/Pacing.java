package org.arbutuslock.cli.internal;

import java.time.Duration;

/** Time as the commands see it, so that tests run without waiting. */
public interface Pacing {
    /**
     * Returns a monotonic reading.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanoTime();

    /**
     * Waits before the next attempt.
     *
     * @param duration how long
     */
    void pause(Duration duration);

    /**
     * Returns the time of the Java runtime.
     *
     * @return a pacing that sleeps
     */
    static Pacing system() {
        return new Pacing() {
            @Override
            public long nanoTime() {
                return System.nanoTime();
            }

            @Override
            public void pause(Duration duration) {
                try {
                    Thread.sleep(duration);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        };
    }
}
