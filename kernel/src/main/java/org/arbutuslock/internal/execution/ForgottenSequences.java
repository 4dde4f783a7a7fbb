package org.arbutuslock.internal.execution;

import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.RequestId;

/**
 * Stores, for each entry node, the highest sequence whose record was removed from the ledger. Up to
 * this sequence a missing record does not prove that a request has not run, so that such a request
 * is neither admitted nor reported as not run. Thread safe.
 */
final class ForgottenSequences {
    private record HighWaterMark(long incarnation, long sequence) {
        boolean covers(long otherIncarnation, long otherSequence) {
            return otherIncarnation < incarnation
                    || otherIncarnation == incarnation && otherSequence <= sequence;
        }
    }

    private final ConcurrentHashMap<String, HighWaterMark> mHighWaterMarks =
            new ConcurrentHashMap<>();
    private final int mMaximumEntryNodes;
    private volatile boolean mOverflowed;

    ForgottenSequences(int maximumEntryNodes) {
        mMaximumEntryNodes = maximumEntryNodes;
    }

    /**
     * Adds a request whose record is about to be removed. Must be called before the removal, so
     * that another thread that finds no record finds the sequence here.
     */
    void add(RequestId id) {
        if (mHighWaterMarks.size() >= mMaximumEntryNodes
                && !mHighWaterMarks.containsKey(id.entryNode())) {
            mOverflowed = true;
            return;
        }
        HighWaterMark added = new HighWaterMark(id.entryIncarnation(), id.sequence());
        mHighWaterMarks.merge(id.entryNode(), added, ForgottenSequences::higher);
    }

    private static HighWaterMark higher(HighWaterMark left, HighWaterMark right) {
        return left.covers(right.incarnation(), right.sequence()) ? left : right;
    }

    boolean covers(RequestId id) {
        HighWaterMark mark = mHighWaterMarks.get(id.entryNode());
        return mark != null && mark.covers(id.entryIncarnation(), id.sequence());
    }

    /**
     * Returns true when a missing record does not prove that the request has not run. Holds for all
     * requests once there were more entry nodes than can be stored.
     */
    boolean mayCover(RequestId id) {
        return mOverflowed || covers(id);
    }
}
