package org.arbutuslock.cli.internal;

import java.time.Duration;

/** Clock and pauses of the commands. Tests replace it to run without waiting. */
public interface CommandClock {
    /**
     * Returns the time of a monotonic clock.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nanoTime();

    /**
     * Blocks the calling thread. Returns early, with the interrupt status set, if the thread is
     * interrupted.
     *
     * @param duration duration of the pause
     */
    void pause(Duration duration);

    /**
     * Returns the implementation that uses {@link System#nanoTime()} and {@code Thread.sleep}.
     *
     * @return implementation for use outside tests
     */
    static CommandClock system() {
        return new CommandClock() {
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
