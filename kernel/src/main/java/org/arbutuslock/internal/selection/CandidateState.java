package org.arbutuslock.internal.selection;

/** Whether an endpoint may get new requests. */
public enum CandidateState {
    /** Gets new requests according to its weight. */
    IN_SERVICE,
    /** Finishes its current requests and gets no new ones. */
    DRAINING,
    /** Considered unhealthy by its home node. */
    EJECTED,
    /** Its home node is not reachable. */
    UNREACHABLE
}
