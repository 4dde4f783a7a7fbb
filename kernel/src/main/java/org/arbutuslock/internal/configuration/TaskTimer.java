package org.arbutuslock.internal.configuration;

import java.time.Duration;

/** Runs tasks later. The daemon uses its event loop, tests a queue that follows a paused clock. */
@FunctionalInterface
public interface TaskTimer {
    /**
     * Runs a task once.
     *
     * @param delay time until the task runs
     * @param task task to run
     */
    void runAfter(Duration delay, Runnable task);
}
