package org.arbutuslock.internal.progress;

/**
 * Requirements of an entry node for one submission of a request to a home node.
 *
 * @param objectiveMillis latency objective of the route in milliseconds, at least 1, or {@link
 *     Integer#MAX_VALUE} when the route has no objective
 * @param requiredHealth minimum health of the backend server; the home node refuses the submission
 *     otherwise
 * @param repetition true when an earlier submission of the request may have reached a backend
 *     server
 */
public record SubmissionRequirements(
        int objectiveMillis, RequiredHealth requiredHealth, boolean repetition) {
    /** No objective and any health, so that no response is overdue. */
    public static final SubmissionRequirements NONE =
            new SubmissionRequirements(Integer.MAX_VALUE, RequiredHealth.ANY, false);

    // About twice the typical response time, which is a sixth to a third of the objective.
    private static final double OVERDUE_SHARE = 0.36;

    /**
     * Returns whether the route has a latency objective.
     *
     * @return false when no response can be overdue
     */
    public boolean hasObjective() {
        return objectiveMillis != Integer.MAX_VALUE;
    }

    /**
     * Returns the time after which a response that has not started is overdue.
     *
     * @return milliseconds after the dispatch of the request, at least 1, or {@link
     *     Integer#MAX_VALUE} without an objective
     */
    public int overdueMillis() {
        return hasObjective()
                ? (int) Math.max(1, objectiveMillis * OVERDUE_SHARE)
                : Integer.MAX_VALUE;
    }
}
