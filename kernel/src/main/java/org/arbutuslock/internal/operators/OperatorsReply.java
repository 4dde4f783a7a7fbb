package org.arbutuslock.internal.operators;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.membership.EndpointRecord;

/**
 * What a home node did with a request about one of its backend servers.
 *
 * @param number number of the request
 * @param outcome what became of the request
 * @param reason what happened and what to do next, or empty
 * @param endpoints endpoints of the backend server after the request
 * @param decisions newest decisions about them, newest first
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

    /** What became of a request; the order is part of the protocol. */
    public enum Outcome {
        /** The endpoints were described. */
        DESCRIBED,
        /** The request was carried out. */
        ACCEPTED,
        /** The backend server already was in the requested state. */
        UNCHANGED,
        /** The floor of a service does not allow it now; it was withdrawn. */
        REFUSED_BY_FLOOR,
        /** The backend server is not on this host, or it leaves for good. */
        NOT_FOUND,
        /** The home node handles too many requests of operators; nothing was changed. */
        BUSY
    }

    /**
     * A decision about one endpoint.
     *
     * @param endpoint the endpoint
     * @param decision what was decided and why
     */
    public record EndpointDecision(EndpointId endpoint, EjectionDecision decision) {}
}
