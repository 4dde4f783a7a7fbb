package org.arbutuslock.internal.ejection;

/**
 * One entry of the decision history, which {@code arbutuslock explain} prints.
 *
 * @param wallTimeMillis time of the first of the repeated decisions, in milliseconds since the Unix
 *     epoch
 * @param state state of the endpoint after the decision
 * @param weightPercent weight of the endpoint after the decision, 0 to 100
 * @param reason what was decided and why, as text for operators
 * @param evidence measurements on which the last repetition is based, or empty
 * @param repetitions number of times that the same decision was made in a row, at least 1
 */
public record EjectionDecision(
        long wallTimeMillis,
        EndpointState state,
        int weightPercent,
        String reason,
        String evidence,
        int repetitions) {}
