package org.arbutuslock.testbed.load;

/**
 * Result of one finished request, for history checks and time series.
 *
 * @param sequence position in the schedule, from 0
 * @param step index in {@link LoadPlan#steps()}
 * @param kind name of the {@link RequestKind}
 * @param uri path and query of the request
 * @param intendedNanos intended send time in nanoseconds after the start of the run
 * @param latencyNanos nanoseconds from the intended send time to the result
 * @param result how the request ended
 * @param status HTTP status, or 0 if no response started or the request timed out
 * @param outcome value of the header {@code arbutuslock-outcome}, or an empty string
 * @param requestId value of the header {@code arbutuslock-request-id}, or an empty string
 */
public record LoadSample(
        long sequence,
        int step,
        String kind,
        String uri,
        long intendedNanos,
        long latencyNanos,
        LoadResult result,
        int status,
        String outcome,
        String requestId) {}
