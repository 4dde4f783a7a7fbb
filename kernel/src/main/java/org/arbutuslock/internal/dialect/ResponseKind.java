package org.arbutuslock.internal.dialect;

/** Classification of a backend server's response by its head. */
public enum ResponseKind {
    /** The response belongs to the request. */
    ANSWER,
    /** The backend server has not executed the request and never will. */
    NOT_EXECUTED,
    /** A different backend server now has the address. The request was not executed. */
    OTHER_SERVER,
    /** The response belongs to a different request. */
    OTHER_REQUEST,
    /** Nothing shows which of the requests of the connection the response belongs to. */
    UNIDENTIFIED,
    /** The response does not come from the backend server. */
    NOT_GENUINE
}
