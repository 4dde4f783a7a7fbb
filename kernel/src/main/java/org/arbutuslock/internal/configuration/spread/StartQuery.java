package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Asks up to 3 peers for their revisions when a node starts. The node does not watch the store
 * before, so that an older store cannot give it a lower revision than its peers have.
 */
final class StartQuery {
    static final int PEERS = 3;

    private static final long REPLY_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

    /** A node that nobody responds to is the first one of its fleet, or cut off from it. */
    private static final long MAXIMUM_DURATION_NANOS = Duration.ofSeconds(2).toNanos();

    private final long mStartedNanos;
    private final List<SpreadMessage.Digest> mReplies = new ArrayList<>();
    private long mAskedNanos;
    private int mAsked;
    private boolean mDone;

    StartQuery(long now) {
        mStartedNanos = now;
    }

    boolean isDone() {
        return mDone;
    }

    /** Returns how many peers to ask now. */
    int peersToAsk(long now) {
        if (mDone || mAsked > 0 && now - mAskedNanos < REPLY_TIMEOUT_NANOS) {
            return 0;
        }
        mAskedNanos = now;
        return PEERS;
    }

    void recordAsked(int count) {
        mAsked = count;
    }

    void recordReply(SpreadMessage.Digest digest) {
        mReplies.add(digest);
    }

    /** Ends the query when enough peers responded or the limit has passed. */
    boolean finishIfDue(long now) {
        boolean allReplied = mAsked > 0 && mReplies.size() >= mAsked;
        boolean someReplied = !mReplies.isEmpty() && now - mAskedNanos >= REPLY_TIMEOUT_NANOS;
        if (mDone || !allReplied && !someReplied && now - mStartedNanos < MAXIMUM_DURATION_NANOS) {
            return false;
        }
        mDone = true;
        return true;
    }

    Optional<SpreadMessage.Digest> highest() {
        return mReplies.stream().max(Comparator.comparingLong(SpreadMessage.Digest::revision));
    }
}
