package org.arbutuslock.internal.messages;

/** Why a home node refused a request that it has not executed. */
public enum RefusalReason {
    /** The queue is full or the deadline cannot be met. */
    OVERLOADED,
    /** The endpoint is ejected, draining or has left. */
    NOT_IN_SERVICE,
    /** The home node does not know the endpoint. */
    UNKNOWN_ENDPOINT,
    /** The home node is shutting down. */
    SHUTTING_DOWN,
    /** The request was withdrawn or its deadline passed before it was dispatched. */
    WITHDRAWN,
    /** A connection to the backend server could not be opened. */
    CONNECT_FAILED,
    /** The request was sent again under an id that the home node already knows. */
    DUPLICATE
}
