package org.arbutuslock.internal.operators;

/**
 * Asks a home node about one of its backend servers.
 *
 * @param number number of the request
 * @param action what to do
 * @param backendServer name of the backend server
 */
public record OperatorsRequest(long number, Action action, String backendServer)
        implements OperatorsMessage {
    /** What to do; the order is part of the protocol. */
    public enum Action {
        /** Describe the endpoints and list the decisions about them. */
        EXPLAIN,
        /** Take the backend server out of service. */
        DRAIN,
        /** Return the backend server to service. */
        UNDRAIN
    }
}
