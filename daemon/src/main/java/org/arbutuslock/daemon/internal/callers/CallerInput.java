package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.daemon.internal.exchange.ExecutionRequest;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.progress.SubmissionRequirements;

/**
 * What a caller sent, with the route that it matched.
 *
 * @param id id of the request
 * @param route matched route
 * @param idempotent true when the request may be executed more than once
 * @param method HTTP method
 * @param target HTTP request target
 * @param headers header fields without those of the connection
 * @param body whole body
 * @param tenant name of the tenant, or empty
 * @param tenantWeight weight of the tenant
 * @param patienceMillis time from its arrival within which the request must be answered
 */
record CallerInput(
        RequestId id,
        RouteDefinition route,
        boolean idempotent,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body,
        String tenant,
        int tenantWeight,
        long patienceMillis) {
    /** Creates the request of one attempt. */
    ExecutionRequest toRequest(
            RequestId attemptId,
            FleetSnapshot.Member member,
            long deadlineNanos,
            SubmissionRequirements expectation) {
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
                expectation);
    }
}
