package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.selection.LoadReport;

/** Chooses the endpoint of an attempt and learns from its result. Any thread. */
public interface EndpointChooser {
    /**
     * Chooses an endpoint.
     *
     * @param route route of the request
     * @param idempotent true when the request may be executed more than once
     * @param tried endpoints that refused the request or failed
     * @return the endpoint, or empty when none is left
     */
    Optional<FleetSnapshot.Member> choose(
            RouteDefinition route, boolean idempotent, Set<EndpointId> tried);

    /**
     * Notes that an attempt has started.
     *
     * @param member its endpoint
     * @param route route of the request
     */
    void started(FleetSnapshot.Member member, RouteDefinition route);

    /**
     * Notes the end of an attempt.
     *
     * @param member its endpoint
     * @param route route of the request
     * @param latency time since the start
     * @param result how it ended
     * @param load load that the home node reported
     * @param bytes bytes of the response body
     */
    void finished(
            FleetSnapshot.Member member,
            RouteDefinition route,
            Duration latency,
            AttemptResult result,
            LoadReport load,
            long bytes);

    /** How an attempt ended. */
    enum AttemptResult {
        /** A complete response. */
        COMPLETE,
        /** The home node refused the request. */
        REFUSED,
        /** The home node refused the request because the backend server is suspect. */
        SUSPECT,
        /** No session to the home node, or it broke. */
        PATH_FAILED,
        /** The backend server failed. */
        SERVER_FAILED
    }
}
