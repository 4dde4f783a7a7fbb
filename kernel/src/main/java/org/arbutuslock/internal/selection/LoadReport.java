package org.arbutuslock.internal.selection;

/**
 * Load of an endpoint, carried back on each response by its home node.
 *
 * @param queueLength requests that wait
 * @param limit concurrency limit, at least 1
 * @param shortWaitNanos expected wait of short work
 * @param longWaitNanos expected wait of long work
 */
public record LoadReport(int queueLength, int limit, long shortWaitNanos, long longWaitNanos) {
    /** Report of an endpoint whose load is not known. */
    public static final LoadReport UNKNOWN = new LoadReport(0, 1, 0, 0);
}
