package org.arbutuslock.internal.progress;

/**
 * What an entry node expects of one submission.
 *
 * @param objectiveMillis time within which a response is worth most to the caller, at least 1, or
 *     {@link Integer#MAX_VALUE} when the route states none
 * @param requiredHealth health of the backend server without which the submission is refused
 * @param repetition true when an earlier submission of the request may have reached a backend
 *     server
 */
public record SubmissionRequirements(
        int objectiveMillis, RequiredHealth requiredHealth, boolean repetition) {
    /** Nothing is overdue, and suspicion does not matter. */
    public static final SubmissionRequirements NONE =
            new SubmissionRequirements(Integer.MAX_VALUE, RequiredHealth.ANY, false);

    // Twice the usual time of a response, which is a sixth to a third of its objective.
    private static final double OVERDUE_SHARE = 0.36;

    /**
     * Tells whether the route states an objective.
     *
     * @return false when a response is worth the same at any time
     */
    public boolean hasObjective() {
        return objectiveMillis != Integer.MAX_VALUE;
    }

    /**
     * Returns when a response that has not started is overdue.
     *
     * @return milliseconds since the request was sent, at least 1
     */
    public int overdueMillis() {
        return hasObjective()
                ? (int) Math.max(1, objectiveMillis * OVERDUE_SHARE)
                : Integer.MAX_VALUE;
    }
}
