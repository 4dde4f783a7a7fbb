package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.daemon.internal.callers.RequestObserver.RequestResult;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;

/**
 * Logs one line for each finished request of a caller. Failures have a higher rate limit than
 * successes, so that they are less likely to be left out.
 */
final class RequestLog {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    // At about 300 bytes per line, both limits together stay below 20 KB/s.
    private static final int FAILURES_PER_SECOND = 40;
    private static final int ANSWERS_PER_SECOND = 10;
    private static final LogRateLimiter FAILURES = new LogRateLimiter(FAILURES_PER_SECOND);
    private static final LogRateLimiter ANSWERS = new LogRateLimiter(ANSWERS_PER_SECOND);

    private final String mName;
    private final StringBuilder mAttempts = new StringBuilder();

    RequestLog(String name) {
        mName = name;
    }

    /** Adds one ended attempt to the line. */
    void addAttempt(String endpoint, String node, String result, long millis) {
        if (!mAttempts.isEmpty()) {
            mAttempts.append(", ");
        }
        mAttempts.append(endpoint).append('@').append(node);
        mAttempts.append(' ').append(result).append(' ').append(millis).append(" ms");
    }

    /** Logs the line, or counts it as left out when the rate limit is reached. */
    void write(
            RouteDefinition route,
            RequestResult result,
            CallerResponse response,
            String reason,
            long revision,
            long nowNanos,
            long millis) {
        boolean answered = result == RequestResult.ANSWERED;
        long leftOut = (answered ? ANSWERS : FAILURES).tryAcquire(nowNanos);
        if (leftOut == LogRateLimiter.SUPPRESSED) {
            return;
        }
        AnswerOrigin answer = response.origin();
        if (answered) {
            LOGGER.log(
                    Event.REQUEST_ANSWERED,
                    mName,
                    route.name(),
                    route.service(),
                    answer.sentStatus(),
                    answer.receivedStatus(),
                    answer.attempt(),
                    answer.seal(),
                    millis,
                    revision,
                    mAttempts,
                    leftOut);
        } else {
            LOGGER.log(
                    Event.REQUEST_FAILED,
                    mName,
                    route.name(),
                    route.service(),
                    result,
                    millis,
                    revision,
                    mAttempts,
                    answer.attempt(),
                    response.sentBytes(),
                    reason,
                    leftOut);
        }
    }
}
