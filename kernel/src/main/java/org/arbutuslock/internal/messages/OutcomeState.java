package org.arbutuslock.internal.messages;

/** Outcome of a request as its home node reports it; encoded as the ordinal. */
public enum OutcomeState {
    /** The request was not executed and never will be. */
    NOT_RUN,
    /** The request was dispatched and its response is not complete yet. */
    IN_PROGRESS,
    /** The request was executed; the reply includes its complete response. */
    ANSWERED,
    /** The request was executed, but its response was not kept. */
    ANSWERED_NOT_KEPT,
    /** The request was dispatched and ended without a complete response; its outcome is unknown. */
    FAILED,
    /** The home node has restarted since the submission and has lost the record of the request. */
    UNKNOWN_INCARNATION,
    /** The record of the request has expired; whether the request was executed is unknown. */
    FORGOTTEN
}
