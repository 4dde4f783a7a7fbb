package org.arbutuslock.internal.configuration;

import java.time.Duration;

/** Runs tasks after a delay: in the daemon on an event loop, in tests on simulated time. */
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
