package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import org.arbutuslock.api.RouteDefinition;

/** Is notified of the result of each request of a caller, for metrics. Thread safe. */
@FunctionalInterface
public interface RequestObserver {
    /**
     * Called when a request has ended.
     *
     * @param route route of the request
     * @param tenant name of the tenant, or an empty string
     * @param latency time from the start of the request to its end
     * @param result how the request ended for its caller
     */
    void finished(RouteDefinition route, String tenant, Duration latency, RequestResult result);

    /** How a request ended for its caller. */
    enum RequestResult {
        /** The caller got the complete response of a backend server. */
        ANSWERED,
        /** The caller got a refusal marked as not run. */
        NOT_RUN,
        /** The caller was told that the outcome is unknown. */
        UNKNOWN,
        /** The response was left incomplete and the connection closed. */
        ABORTED,
        /** The caller closed its connection. */
        CANCELLED
    }
}
