package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.progress.SubmissionRequirements;

/**
 * Request of a caller with the route that it matched.
 *
 * @param id id of the request; each attempt has its own id derived from it
 * @param route matched route
 * @param idempotent true when the request may be executed more than once
 * @param method HTTP method
 * @param target HTTP request target
 * @param headers header fields to forward, without hop-by-hop fields
 * @param body complete body
 * @param tenant name of the tenant, or an empty string
 * @param tenantWeight weight of the tenant
 * @param arrivalNanos when the request was read completely, on the clock of the entry node, in
 *     nanoseconds
 * @param timeoutMillis time from the arrival of the request to its deadline, in milliseconds
 */
record RoutedRequest(
        RequestId id,
        RouteDefinition route,
        boolean idempotent,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body,
        String tenant,
        int tenantWeight,
        long arrivalNanos,
        long timeoutMillis) {
    /** Creates the message that submits one attempt to the home node of {@code member}. */
    ExecutionRequest toExecutionRequest(
            RequestId attemptId,
            FleetSnapshot.Member member,
            long deadlineNanos,
            SubmissionRequirements requirements) {
        return new ExecutionRequest(
                attemptId,
                member.endpoint().id(),
                method,
                target,
                headers,
                body,
                route.workClass(),
                idempotent,
                tenant,
                tenantWeight,
                route.priority(),
                deadlineNanos,
                requirements,
                route.name());
    }
}
