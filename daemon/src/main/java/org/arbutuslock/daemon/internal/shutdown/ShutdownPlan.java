package org.arbutuslock.daemon.internal.shutdown;

import java.time.Duration;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Time limits of a graceful shutdown. All of them count from its start, so that a step that takes
 * longer than planned shortens the next ones and does not move the end.
 *
 * @param notice time in which requests are served as before, while callers and other nodes learn
 *     that this node is leaving
 * @param drainLimit time at which unfinished requests are answered with their known outcome
 * @param stopLimit time at which the process ends, even if a step of the shutdown blocks
 */
public record ShutdownPlan(Duration notice, Duration drainLimit, Duration stopLimit) {
    // A leaving server must get no new work 3 s after the start of its shutdown.
    private static final Duration MAXIMUM_NOTICE = Duration.ofMillis(2_500);
    // Of this time, the end of unfinished requests takes up to 0.3 s, the stop of the plug-ins and
    // the end of the process the rest. It lies within the last sixth of the time that the host
    // gives, in which unfinished requests may be ended.
    private static final Duration MAXIMUM_STOP_TIME = Duration.ofMillis(900);
    private static final int MAXIMUM_STOP_PERCENT = 15;
    // The runtime waits up to 0.3 s for threads that are in a system call when it ends, such as
    // event loops that a blocked shutdown has not stopped.
    private static final Duration MAXIMUM_EXIT_TIME = Duration.ofMillis(400);
    private static final int EXIT_TIME_DIVISOR = 15;

    /**
     * Divides the time that the host gives the process to stop.
     *
     * @param settings time until the host ends the process, and the longest wait for requests
     * @return time limits
     */
    public static ShutdownPlan of(NodeSettings settings) {
        Duration total = ofSeconds(settings.bounds().stopSeconds());
        Duration notice = shorter(MAXIMUM_NOTICE, total.dividedBy(2));
        Duration stopShare = total.multipliedBy(MAXIMUM_STOP_PERCENT).dividedBy(100);
        Duration stopTime = shorter(MAXIMUM_STOP_TIME, stopShare);
        Duration exitTime = shorter(MAXIMUM_EXIT_TIME, total.dividedBy(EXIT_TIME_DIVISOR));
        Duration configured = notice.plus(ofSeconds(settings.limits().drainSeconds()));
        Duration drainLimit = shorter(configured, total.minus(stopTime));
        return new ShutdownPlan(notice, drainLimit, total.minus(exitTime));
    }

    private static Duration ofSeconds(double seconds) {
        return Duration.ofMillis((long) (seconds * 1_000));
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
