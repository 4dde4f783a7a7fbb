package org.arbutuslock.internal.operators;

/**
 * Request of an operator to the home node of a backend server.
 *
 * @param number number of the request, unique within one process run of the requesting node
 * @param action action to perform
 * @param backendServer name of the backend server
 */
public record OperatorsRequest(long number, Action action, String backendServer)
        implements OperatorsMessage {
    /** Action of a request. Encoded by ordinal, so the order of the constants must not change. */
    public enum Action {
        /** Describe the endpoints and list the decisions about them. */
        EXPLAIN,
        /** Take the backend server out of service. */
        DRAIN,
        /** Return the backend server to service. */
        UNDRAIN
    }
}
