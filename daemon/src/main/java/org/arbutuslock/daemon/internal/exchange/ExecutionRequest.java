package org.arbutuslock.daemon.internal.exchange;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.progress.SubmissionRequirements;

/**
 * A request to be executed at one endpoint.
 *
 * @param id id of the request
 * @param endpoint endpoint that should execute the request
 * @param method HTTP method
 * @param target HTTP request target
 * @param headers header fields without hop-by-hop fields
 * @param body complete body; not copied and must not be modified
 * @param workClass short or long work
 * @param idempotent true when the request may be executed more than once
 * @param tenant name of the tenant; empty for none
 * @param tenantWeight weight of the tenant, 1 to 100
 * @param priority 0 to 9
 * @param deadlineNanos reading of the clock at which the caller gives up
 * @param requirements latency objective, required health and whether this is a retry
 * @param route name of the route; empty when the request has none or its entry node does not state
 *     it
 */
public record ExecutionRequest(
        RequestId id,
        EndpointId endpoint,
        String method,
        String target,
        List<HeaderField> headers,
        byte[] body,
        WorkClass workClass,
        boolean idempotent,
        String tenant,
        int tenantWeight,
        int priority,
        long deadlineNanos,
        SubmissionRequirements requirements,
        String route) {
    /** Copies the list of headers. */
    public ExecutionRequest {
        headers = List.copyOf(headers);
    }
}
