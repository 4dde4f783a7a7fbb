package org.arbutuslock.internal.detection;

/** How one request to a backend server ended, as far as the server is responsible. */
public enum Outcome {
    /** Complete and right. */
    OK,
    /** Complete, but an error of the server or a wrong content. */
    WRONG,
    /** Ended before its announced end. */
    TRUNCATED,
    /** Refused by the server, which sheds load. */
    REFUSED,
    /** Not finished when the caller's deadline ended. */
    TIMEOUT,
    /** No progress for {@link HealthDetector#STALL_NANOS}; reported while it still runs. */
    STALLED,
    /** Completed after it had been reported as stalled; takes that report back. */
    LATE
}
