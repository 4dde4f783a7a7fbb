package org.arbutuslock.internal.admission;

/** How a dispatched request ended. Decides how the concurrency limit changes. */
public enum Completion {
    /** The backend server responded; the latency is a sample. */
    SUCCESS,
    /** The backend server refused the request because of overload. */
    SHED,
    /** The request failed or was cancelled; its latency is ignored. */
    FAILED
}
