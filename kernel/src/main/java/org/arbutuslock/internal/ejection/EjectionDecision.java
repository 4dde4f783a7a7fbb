package org.arbutuslock.internal.ejection;

/**
 * One entry of the history that {@code arbutuslock explain} shows.
 *
 * @param wallTimeMillis when it was first made, in milliseconds since the Unix epoch
 * @param state state after it
 * @param weightPercent weight after it
 * @param reason what was decided and why
 * @param evidence figures behind the reason, or empty
 * @param repetitions how many times in a row the same decision was made
 */
public record EjectionDecision(
        long wallTimeMillis,
        EndpointState state,
        int weightPercent,
        String reason,
        String evidence,
        int repetitions) {}
