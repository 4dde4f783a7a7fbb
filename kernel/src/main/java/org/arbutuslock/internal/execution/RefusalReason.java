package org.arbutuslock.internal.execution;

/** Why a request was refused. A refused request has not run. */
public enum RefusalReason {
    /** The queue of the backend server is full. */
    QUEUE_FULL,
    /** The deadline cannot be met, or passed while the request was queued. */
    DEADLINE,
    /**
     * A request with a higher priority, or of a tenant that uses less of its share, took the place
     * in the queue.
     */
    DISPLACED,
    /** The backend server or the node is draining. */
    DRAINING,
    /** The backend server is ejected, cold or has left. */
    NOT_IN_SERVICE,
    /** The caller or the entry node cancelled the request. */
    CANCELLED,
    /** An outcome query arrived while the request was queued. */
    QUERIED,
    /** The session on which the request arrived was fenced. */
    SESSION_FENCED,
    /** The endpoint does not belong to this home node. */
    UNKNOWN_ENDPOINT,
    /** No connection to the backend server could be opened. */
    CONNECT_FAILED,
    /** The execution ledger of the home node has no room for another record. */
    LEDGER_FULL,
    /**
     * The request is a late copy, and the record of the original was removed. The original may have
     * run.
     */
    FORGOTTEN,
    /** The backend server reported that it did not execute the request. */
    NOT_EXECUTED,
    /** The backend server has overdue requests. Another endpoint should be tried first. */
    SUSPECT,
    /**
     * The backend server has not completed a request successfully since it was last slow or failed.
     */
    UNPROVEN,
    /** The request is a retry, and this endpoint's part of the retry budget is used up. */
    RETRY_BUDGET,
    /** The messages with the request could not be sent to the home node or read there. */
    NOT_TRANSMITTED
}
