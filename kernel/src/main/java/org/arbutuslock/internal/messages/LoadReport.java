package org.arbutuslock.internal.messages;

/**
 * Load of an endpoint as its home node sees it, carried on responses.
 *
 * @param active requests that the backend server works on
 * @param queued requests that wait at the home node
 * @param limit current concurrency limit
 * @param expectedWaitMicros expected wait of a short request before it is dispatched
 */
public record LoadReport(int active, int queued, int limit, int expectedWaitMicros) {
    /** Report of an endpoint whose load is not known. */
    public static final LoadReport UNKNOWN = new LoadReport(0, 0, 0, 0);
}
