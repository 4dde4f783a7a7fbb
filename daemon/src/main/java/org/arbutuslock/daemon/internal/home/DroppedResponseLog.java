package org.arbutuslock.daemon.internal.home;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.logging.LogRateLimiter;

/** Logs the responses of backend servers that no request gets. */
final class DroppedResponseLog {
    private static final EventLogger LOGGER = EventLogger.forComponent("home");
    private static final int LINES_PER_SECOND = 20;
    private static final LogRateLimiter LINE_LIMIT = new LogRateLimiter(LINES_PER_SECOND);

    private final Clock mClock;
    private final RequestDialect mDialect;

    DroppedResponseLog(Clock clock, RequestDialect dialect) {
        mClock = clock;
        mDialect = dialect;
    }

    /**
     * Logs one response, unless the limit of lines is reached.
     *
     * @param endpoint endpoint that the connection leads to
     * @param connection number of the connection
     * @param sending number of requests that were sent on the connection
     * @param request name of the request in progress, or an empty string
     * @param kind why no request gets the response
     * @param response head of the response
     */
    void log(
            EndpointId endpoint,
            long connection,
            int sending,
            String request,
            String kind,
            HttpResponse response) {
        Optional<String> seal = mDialect.sealField().map(name -> response.headers().get(name));
        write(
                endpoint,
                connection,
                sending,
                request,
                kind,
                response.status().code(),
                mDialect.requestName(name -> response.headers().get(name)),
                seal.orElse(""));
    }

    /**
     * Logs bytes that are no complete head and arrived while no request was in progress, unless the
     * limit of lines is reached.
     *
     * @param endpoint endpoint that the connection leads to
     * @param connection number of the connection
     * @param sending number of requests that were sent on the connection
     */
    void logBytes(EndpointId endpoint, long connection, int sending) {
        write(endpoint, connection, sending, "", "BYTES", 0, "", "");
    }

    private void write(
            EndpointId endpoint,
            long connection,
            int sending,
            String request,
            String kind,
            int status,
            String answers,
            String seal) {
        long leftOut = LINE_LIMIT.tryAcquire(mClock.nanoTime());
        if (leftOut != LogRateLimiter.SUPPRESSED) {
            LOGGER.log(
                    Event.BACKEND_RESPONSE_DROPPED,
                    endpoint,
                    connection,
                    sending,
                    request,
                    kind,
                    status,
                    answers,
                    seal,
                    leftOut);
        }
    }
}
