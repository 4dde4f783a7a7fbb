package org.arbutuslock.testbed.load;

/**
 * One finished request, for history checks and time series.
 *
 * @param sequence position in the schedule
 * @param step index of the step
 * @param kind name of the kind
 * @param uri path and query that were sent
 * @param intendedNanos intended send time after the start of the run
 * @param latencyNanos from the intended send time to the end of the response
 * @param result how the request ended
 * @param status HTTP status, or 0 without a response
 * @param outcome value of the header {@code arbutuslock-outcome}, or empty
 * @param requestId value of the header {@code arbutuslock-request-id}, or empty
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
