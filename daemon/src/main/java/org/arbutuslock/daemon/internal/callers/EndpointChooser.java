package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.selection.LoadReport;

/** Chooses the endpoint of each attempt and records the results of attempts. Thread safe. */
public interface EndpointChooser {
    /**
     * Chooses an endpoint.
     *
     * @param route route of the request
     * @param idempotent true when the request may be executed more than once
     * @param tried endpoints of earlier attempts, which must not be chosen
     * @return the endpoint with its home node, or empty when none is available
     */
    Optional<FleetSnapshot.Member> choose(
            RouteDefinition route, boolean idempotent, Set<EndpointId> tried);

    /**
     * Records the start of an attempt.
     *
     * @param member endpoint of the attempt
     * @param route route of the request
     */
    void started(FleetSnapshot.Member member, RouteDefinition route);

    /**
     * Records the end of an attempt.
     *
     * @param member endpoint of the attempt
     * @param route route of the request
     * @param latency time since the start of the attempt
     * @param result how the attempt ended
     * @param load load that the home node reported, or {@link LoadReport#UNKNOWN}
     * @param bytes received bytes of the response body
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
        /** The response was received completely. */
        COMPLETE,
        /** The complete response reports a failure of the backend server, at whatever speed. */
        FAILURE_RESPONSE,
        /** The home node refused the request. */
        REFUSED,
        /** The home node refused the request because the backend server is suspect. */
        SUSPECT,
        /** No session to the home node could be opened, or the session was lost. */
        PATH_FAILED,
        /** The backend server failed, or the attempt was cancelled. */
        SERVER_FAILED;

        /**
         * Returns the result of an attempt whose response was received completely.
         *
         * @param response head and body of the response
         * @return complete, or a failure of the backend server
         */
        static AttemptResult ofResponse(ResponseBuffer response) {
            return response.isServerFailure() ? FAILURE_RESPONSE : COMPLETE;
        }

        /**
         * Returns the result of an attempt that its home node refused.
         *
         * @param reason reason of the refusal
         * @return suspect or refused
         */
        static AttemptResult ofRefusal(RefusalReason reason) {
            return reason == RefusalReason.SUSPECT ? SUSPECT : REFUSED;
        }
    }
}
