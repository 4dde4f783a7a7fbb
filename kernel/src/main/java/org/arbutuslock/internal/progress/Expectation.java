package org.arbutuslock.internal.progress;

/**
 * What an entry node expects of one submission.
 *
 * @param overdueMillis time after which a response that has not started is overdue, at least 1
 * @param insisting true when the request shall be executed although the endpoint is suspect,
 *     because no other endpoint takes it
 */
public record Expectation(int overdueMillis, boolean insisting) {
    /** Nothing is overdue, and suspicion does not matter. */
    public static final Expectation NONE = new Expectation(Integer.MAX_VALUE, true);
}
