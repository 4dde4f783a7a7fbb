package org.arbutuslock.daemon.internal.exchange;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.progress.SubmissionRequirements;

/**
 * One request for one endpoint.
 *
 * @param id id of the request
 * @param endpoint endpoint that shall execute it
 * @param method HTTP method
 * @param target HTTP request target
 * @param headers header fields without those of the connection
 * @param body whole body; must not be changed
 * @param workClass short or long work
 * @param idempotent true when it may be executed more than once
 * @param tenant name of the tenant, or empty
 * @param tenantWeight weight of the tenant, 1 to 100
 * @param priority 0 to 9
 * @param deadlineNanos reading of the clock at which the caller gives up
 * @param requirements what the entry node expects
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
        SubmissionRequirements requirements) {
    /** Copies the list of headers. */
    public ExecutionRequest {
        headers = List.copyOf(headers);
    }
}
