package org.arbutuslock.internal.detection;

/** Assessment of the health of one endpoint by its {@link HealthDetector}. */
public sealed interface HealthAssessment {
    /**
     * Returns the evidence score relative to the score from which an endpoint is unhealthy.
     *
     * @return 0 (no evidence of a fault) to 1 (score reached)
     */
    double severity();

    /**
     * Returns the measurements on which the assessment is based.
     *
     * @return text for operators
     */
    String evidence();

    /**
     * There is little or no evidence of a fault.
     *
     * @param severity 0 to 1
     * @param evidence measurements on which the assessment is based
     */
    record Healthy(double severity, String evidence) implements HealthAssessment {}

    /**
     * The endpoint may be unhealthy, but more observations are needed.
     *
     * @param severity 0 to 1
     * @param evidence measurements on which the assessment is based
     */
    record Suspect(double severity, String evidence) implements HealthAssessment {}

    /**
     * The endpoint is unhealthy and should be ejected.
     *
     * @param severity 0 to 1
     * @param evidence measurements on which the assessment is based
     */
    record Unhealthy(double severity, String evidence) implements HealthAssessment {}
}
