package org.arbutuslock.internal.selection;

/** Whether an endpoint may get new requests. */
public enum CandidateState {
    /** Gets requests according to its weight. */
    IN_SERVICE,
    /** Finishes its work and gets none. */
    DRAINING,
    /** Judged unhealthy by its home node. */
    EJECTED,
    /** Its home node is not reachable. */
    UNREACHABLE
}
