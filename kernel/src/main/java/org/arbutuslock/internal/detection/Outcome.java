package org.arbutuslock.internal.detection;

/** Result of one request to a backend server, as evidence of the health of that server. */
public enum Outcome {
    /** The response is complete and correct. */
    OK,
    /** The response is complete, but it is a server error or has wrong content. */
    WRONG,
    /** The response ended before its declared length. */
    TRUNCATED,
    /** The server refused the request to shed load. */
    REFUSED,
    /** The response was not complete at the caller's deadline. */
    TIMEOUT,
    /**
     * The request made no progress for {@link HealthDetector#STALL_NANOS}. Reported while the
     * request is still running.
     */
    STALLED,
    /** The request completed after it was reported as {@link #STALLED}. Cancels one such report. */
    LATE
}
