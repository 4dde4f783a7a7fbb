package org.arbutuslock.internal.execution;

/** State of a request at its home node. The last three are final. */
public enum ExecutionState {
    /** Admitted. No byte has been written to the backend server. */
    QUEUED,
    /** Bytes may have reached the backend server. */
    DISPATCHED,
    /** Refused: the request has not run and will not run. */
    REFUSED,
    /** The backend server responded completely. */
    ANSWERED,
    /** The outcome at the backend server is unknown. */
    FAILED
}
