package org.arbutuslock.internal.admission;

/**
 * What admission control expected of a request when it decided on it.
 *
 * @param remainingNanos nanoseconds until the deadline of the request; negative after it
 * @param waitNanos expected nanoseconds until the request is dispatched
 * @param latencyNanos expected nanoseconds from the dispatch to the response
 * @param waiting number of queued requests
 * @param inFlight number of dispatched requests
 * @param limit concurrency limit
 */
public record AdmissionEstimate(
        long remainingNanos,
        long waitNanos,
        long latencyNanos,
        int waiting,
        int inFlight,
        int limit) {}
