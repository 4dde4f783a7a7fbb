package org.arbutuslock.internal.selection;

/**
 * Load of an endpoint. Its home node sends it with each response.
 *
 * @param queueLength number of queued requests
 * @param limit concurrency limit, at least 1
 * @param shortWaitNanos expected time in the queue of a short request, in nanoseconds
 * @param longWaitNanos expected time in the queue of a long request, in nanoseconds
 */
public record LoadReport(int queueLength, int limit, long shortWaitNanos, long longWaitNanos) {
    /** Report for an endpoint whose load is not known. */
    public static final LoadReport UNKNOWN = new LoadReport(0, 1, 0, 0);
}
