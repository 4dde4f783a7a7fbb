package org.arbutuslock.daemon.internal.shutdown;

import java.time.Duration;
import java.util.Arrays;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Runs the steps of a shutdown on a thread of their own and waits for them up to a time limit. A
 * step that blocks, for example on an event loop that is busy, then does not keep the process alive
 * until the host kills it.
 */
public final class BoundedShutdown {
    private static final EventLogger LOGGER = EventLogger.forComponent("main");
    private static final String OWN_PACKAGES = "org.arbutuslock";

    private BoundedShutdown() {}

    /**
     * Runs the steps and returns when they have ended or when the limit has passed. The steps go on
     * in the latter case; they do not keep the runtime from ending.
     *
     * @param steps steps of the shutdown
     * @param limit longest wait, must be positive
     */
    public static void run(Runnable steps, Duration limit) {
        Thread thread = Thread.ofPlatform().name("shutdown-steps").daemon().start(steps);
        try {
            if (!thread.join(limit)) {
                LOGGER.log(Event.STOP_LIMIT_REACHED, limit.toMillis() / 1_000.0, locate(thread));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the innermost method of this project that the thread is in. */
    private static String locate(Thread thread) {
        return Arrays.stream(thread.getStackTrace())
                .filter(frame -> frame.getClassName().startsWith(OWN_PACKAGES))
                .findFirst()
                .map(frame -> frame.getClassName() + "." + frame.getMethodName())
                .orElse("an unknown step");
    }
}
