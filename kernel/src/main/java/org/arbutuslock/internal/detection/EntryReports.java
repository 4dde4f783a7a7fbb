package org.arbutuslock.internal.detection;

import java.util.concurrent.TimeUnit;

/** Tells whether two different entry nodes reported bad responses within 10 s of each other. */
final class EntryReports {
    private static final long AGREEMENT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private String mLatestNode;
    private String mOtherNode;
    private long mLatestNanos;
    private long mOtherNanos;

    /**
     * Adds a report and tells whether another entry node sent one within the last 10 s.
     *
     * @param entryNode name of the reporting entry node
     * @param nowNanos monotonic time of the report
     * @return true when two entry nodes agree
     */
    boolean add(String entryNode, long nowNanos) {
        if (entryNode.equals(mLatestNode)) {
            mLatestNanos = nowNanos;
        } else {
            mOtherNode = mLatestNode;
            mOtherNanos = mLatestNanos;
            mLatestNode = entryNode;
            mLatestNanos = nowNanos;
        }
        return mOtherNode != null && nowNanos - mOtherNanos < AGREEMENT_WINDOW_NANOS;
    }
}
