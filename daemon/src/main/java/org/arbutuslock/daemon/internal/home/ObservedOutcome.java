package org.arbutuslock.daemon.internal.home;

/** How a request at a backend server ended, as evidence of its health. */
public enum ObservedOutcome {
    /** A complete response without a server error. */
    SUCCESS,
    /** A complete response with a status of 500 or above other than 503. */
    SERVER_ERROR,
    /** The backend server refused the request (503). */
    SHED,
    /** The connection broke before the response was complete. */
    TRUNCATED,
    /** The deadline passed while the backend server worked on the request. */
    TIMEOUT,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The caller withdrew the request. */
    CANCELLED
}
