package org.arbutuslock.internal.admission;

/** How a dispatched request ended, as far as admission learns from it. */
public enum Completion {
    /** The backend server responded; its latency is evidence. */
    SUCCESS,
    /** The backend server refused the request because it is overloaded. */
    SHED,
    /** The request failed or was cancelled; its latency is no evidence. */
    FAILED
}
