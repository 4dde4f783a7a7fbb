package org.arbutuslock.daemon.internal.eventloops;

import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Keeps a periodic task running after one of its runs has failed. An executor ends the series of a
 * task that throws, so that a node would stop to gossip, or would keep expired entries, without a
 * sign of it.
 *
 * <pre>{@code
 * eventLoop.scheduleWithFixedDelay(
 *         new RepeatedTask("gossip", this::tick), 0, 100, TimeUnit.MILLISECONDS);
 * }</pre>
 *
 * @param name name of the task, for the log
 * @param task the task
 */
public record RepeatedTask(String name, Runnable task) implements Runnable {
    private static final EventLogger LOGGER = EventLogger.forComponent("eventloops");

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOGGER.log(Event.REPEATED_TASK_FAILED, name, failure);
        }
    }
}
