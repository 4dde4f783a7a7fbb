package org.arbutuslock.internal.detection;

import java.util.concurrent.TimeUnit;

/** Tells whether at least two entry nodes reported bad responses within a short time. */
final class EntryReports {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

    private String mFirst;
    private String mSecond;
    private long mFirstNanos;
    private long mSecondNanos;

    boolean add(String entryNode, long nowNanos) {
        if (entryNode.equals(mFirst)) {
            mFirstNanos = nowNanos;
        } else {
            mSecond = mFirst;
            mSecondNanos = mFirstNanos;
            mFirst = entryNode;
            mFirstNanos = nowNanos;
        }
        return mSecond != null && nowNanos - mSecondNanos < PERIOD_NANOS;
    }
}
