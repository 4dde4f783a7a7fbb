package org.arbutuslock.internal.detection;

/** Judgement of the detector about one endpoint. */
public sealed interface HealthAssessment {
    /**
     * Returns how far the endpoint is from healthy.
     *
     * @return 0 (healthy) to 1 (useless)
     */
    double severity();

    /**
     * Returns the figures behind the judgement.
     *
     * @return text for operators
     */
    String evidence();

    /**
     * Nothing unusual was observed.
     *
     * @param severity 0 to 1
     * @param evidence figures behind the judgement
     */
    record Healthy(double severity, String evidence) implements HealthAssessment {}

    /**
     * The endpoint may be sick; more observations are needed.
     *
     * @param severity 0 to 1
     * @param evidence figures behind the judgement
     */
    record Suspect(double severity, String evidence) implements HealthAssessment {}

    /**
     * The endpoint is sick and should be ejected.
     *
     * @param severity 0 to 1
     * @param evidence figures behind the judgement
     */
    record Unhealthy(double severity, String evidence) implements HealthAssessment {}
}
