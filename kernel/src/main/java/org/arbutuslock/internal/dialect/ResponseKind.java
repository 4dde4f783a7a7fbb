package org.arbutuslock.internal.dialect;

/** What the head of a backend server's response says about the request. */
public enum ResponseKind {
    /** The response to the request. */
    ANSWER,
    /** The backend server did not execute the request and never will. */
    NOT_EXECUTED,
    /** Another backend server has the address; the request was not executed. */
    OTHER_SERVER,
    /** The response to another request. */
    OTHER_REQUEST,
    /** Not a response of the backend server. */
    NOT_GENUINE
}
