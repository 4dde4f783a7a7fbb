package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.daemon.internal.callers.RequestObserver.RequestResult;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;

/** Writes one line for each finished request, failures before successes. */
final class RequestLog {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");
    // A line takes about 300 bytes; both limits together are below 20 KB a second.
    private static final int FAILURES_PER_SECOND = 40;
    private static final int ANSWERS_PER_SECOND = 10;
    private static final LogRateLimiter FAILURES = new LogRateLimiter(FAILURES_PER_SECOND);
    private static final LogRateLimiter ANSWERS = new LogRateLimiter(ANSWERS_PER_SECOND);

    private final String mName;
    private final StringBuilder mTries = new StringBuilder();

    RequestLog(String name) {
        mName = name;
    }

    /** Notes the end of one submission. */
    void tried(String endpoint, String node, String result, long millis) {
        if (!mTries.isEmpty()) {
            mTries.append(", ");
        }
        mTries.append(endpoint).append('@').append(node);
        mTries.append(' ').append(result).append(' ').append(millis).append(" ms");
    }

    /** Writes the line of the request. */
    void finished(
            RouteDefinition route,
            RequestResult result,
            int status,
            String reason,
            long revision,
            long nowNanos,
            long millis) {
        boolean answered = result == RequestResult.ANSWERED;
        long leftOut = (answered ? ANSWERS : FAILURES).tryAcquire(nowNanos);
        if (leftOut == LogRateLimiter.SUPPRESSED) {
            return;
        }
        if (answered) {
            LOGGER.log(
                    Event.REQUEST_ANSWERED,
                    mName,
                    route.name(),
                    route.service(),
                    status,
                    millis,
                    revision,
                    mTries,
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
                    mTries,
                    reason,
                    leftOut);
        }
    }
}
