package org.arbutuslock.internal.operators;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.membership.EndpointRecord;

/**
 * Reply of a home node to an {@link OperatorsRequest}.
 *
 * @param number number of the request
 * @param outcome outcome of the request
 * @param reason explanation for the operator and the advised next step; may be empty
 * @param endpoints endpoints of the backend server after the request
 * @param decisions latest decisions about these endpoints, newest first
 */
public record OperatorsReply(
        long number,
        Outcome outcome,
        String reason,
        List<EndpointRecord> endpoints,
        List<EndpointDecision> decisions)
        implements OperatorsMessage {
    /** Copies the lists. */
    public OperatorsReply {
        endpoints = List.copyOf(endpoints);
        decisions = List.copyOf(decisions);
    }

    /** Outcome of a request. Encoded by ordinal, so the order of the constants must not change. */
    public enum Outcome {
        /** The reply describes the endpoints; nothing was changed. */
        DESCRIBED,
        /** The request was carried out. */
        ACCEPTED,
        /** The backend server already was in the requested state. */
        UNCHANGED,
        /** The floor of a service does not allow the drain now; the drain was withdrawn. */
        REFUSED_BY_FLOOR,
        /** The backend server is not on this host, or it is departing permanently. */
        NOT_FOUND,
        /** The home node is handling too many requests of operators; nothing was changed. */
        BUSY
    }

    /**
     * A decision about one endpoint.
     *
     * @param endpoint id of the endpoint
     * @param decision the decision with its reason and evidence
     */
    public record EndpointDecision(EndpointId endpoint, EjectionDecision decision) {}
}
