package org.arbutuslock.internal.execution;

import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.RequestId;

/**
 * Stores, for each entry node, the highest sequence whose record was removed from the ledger. Up to
 * this sequence a missing record does not prove that a request has not run, so that such a request
 * is neither admitted nor reported as not run. Thread safe.
 */
final class ForgottenSequences {
    private record Mark(long incarnation, long sequence) {
        boolean covers(long otherIncarnation, long otherSequence) {
            return otherIncarnation < incarnation
                    || otherIncarnation == incarnation && otherSequence <= sequence;
        }
    }

    private final ConcurrentHashMap<String, Mark> mMarks = new ConcurrentHashMap<>();
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
        if (mMarks.size() >= mMaximumEntryNodes && !mMarks.containsKey(id.entryNode())) {
            mOverflowed = true;
            return;
        }
        Mark added = new Mark(id.entryIncarnation(), id.sequence());
        mMarks.merge(id.entryNode(), added, ForgottenSequences::higher);
    }

    private static Mark higher(Mark left, Mark right) {
        return left.covers(right.incarnation(), right.sequence()) ? left : right;
    }

    boolean covers(RequestId id) {
        Mark mark = mMarks.get(id.entryNode());
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
