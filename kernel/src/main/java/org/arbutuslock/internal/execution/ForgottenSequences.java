package org.arbutuslock.internal.execution;

import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.RequestId;

/**
 * Remembers, for each entry node, the highest sequence whose record was forgotten. Below it, the
 * absence of a record proves nothing, and a request is neither admitted nor reported as not run.
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

    /** Call it before the record is removed. */
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

    /** True when the absence of a record does not prove that the request has not run. */
    boolean mayCover(RequestId id) {
        return mOverflowed || covers(id);
    }
}
