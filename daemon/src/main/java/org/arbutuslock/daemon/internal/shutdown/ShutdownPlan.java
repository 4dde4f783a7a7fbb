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
    // Of this time, the end of unfinished requests takes up to 0.3 s, the stop of the plug-ins the
    // rest. At the usual 6 s it lies within the last sixth, in which requests may be ended.
    private static final Duration MAXIMUM_STOP_TIME = Duration.ofMillis(700);
    private static final int STOP_TIME_DIVISOR = 8;
    // The runtime needs it from the signal to the start of the shutdown, and to end the process:
    // 0.21 s together on a host with four runnable threads for each processor.
    private static final Duration MAXIMUM_EXIT_TIME = Duration.ofMillis(250);
    private static final int EXIT_TIME_DIVISOR = 24;

    /**
     * Divides the time that the host gives the process to stop.
     *
     * @param settings time until the host ends the process, and the longest wait for requests
     * @return time limits
     */
    public static ShutdownPlan of(NodeSettings settings) {
        Duration total = ofSeconds(settings.bounds().stopSeconds());
        Duration notice = shorter(MAXIMUM_NOTICE, total.dividedBy(2));
        Duration stopTime = shorter(MAXIMUM_STOP_TIME, total.dividedBy(STOP_TIME_DIVISOR));
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
