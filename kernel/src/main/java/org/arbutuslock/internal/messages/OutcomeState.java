package org.arbutuslock.internal.messages;

/** What a home node knows about a request that it is asked about. */
public enum OutcomeState {
    /** The request was not executed and never will be. */
    NOT_RUN,
    /** The request was dispatched and its response is not complete yet. */
    IN_PROGRESS,
    /** The response is complete and included. */
    ANSWERED,
    /** The request was executed, but its response is not kept. */
    ANSWERED_NOT_KEPT,
    /** The request was dispatched and its outcome is not known. */
    FAILED,
    /** The home node has restarted since; it knows nothing about the request. */
    UNKNOWN_INCARNATION,
    /** The home node no longer keeps the record; whether the request ran is unknown. */
    FORGOTTEN
}
