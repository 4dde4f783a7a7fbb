package org.arbutuslock.internal.detection;

import java.util.concurrent.TimeUnit;

/** Tells whether at least two entry nodes reported bad responses within a short time. */
final class EntryReports {
    private static final long AGREEMENT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private String mLatestNode;
    private String mOtherNode;
    private long mLatestNanos;
    private long mOtherNanos;

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
