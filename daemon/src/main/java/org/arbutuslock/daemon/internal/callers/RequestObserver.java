package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import org.arbutuslock.api.RouteDefinition;

/** Gets the result of each request of a caller, for metrics. Any thread. */
@FunctionalInterface
public interface RequestObserver {
    /**
     * Notes the end of a request.
     *
     * @param route route of the request
     * @param tenant name of the tenant, or empty
     * @param latency time from the request to the end of the response
     * @param result how it ended
     */
    void finished(RouteDefinition route, String tenant, Duration latency, RequestResult result);

    /** How a request ended for its caller. */
    enum RequestResult {
        /** The whole response of a backend server. */
        ANSWERED,
        /** A refusal marked not run. */
        NOT_RUN,
        /** An unknown outcome. */
        UNKNOWN,
        /** The response was cut off and the connection closed. */
        ABORTED,
        /** The caller closed its connection. */
        CANCELLED
    }
}
