package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Asks up to 3 peers for their revisions when a node starts. The node does not watch the store
 * until the query has ended. Otherwise a store that was restored from an older backup could give
 * the node a lower revision than its peers have.
 */
final class StartQuery {
    static final int PEERS = 3;

    private static final long REPLY_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

    /**
     * Time after which the query ends without a reply. The node is then the first one of its fleet,
     * or the network separates it from its peers.
     */
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

    /** Returns the number of peers to ask now, or 0 while replies are awaited. */
    int peersToAsk(long now) {
        if (mDone || mAsked > 0 && now - mAskedNanos < REPLY_TIMEOUT_NANOS) {
            return 0;
        }
        mAskedNanos = now;
        return PEERS;
    }

    /** Records how many peers were asked in this round. */
    void recordAsked(int count) {
        mAsked = count;
    }

    void recordReply(SpreadMessage.Digest digest) {
        mReplies.add(digest);
    }

    /**
     * Ends the query when all asked peers replied, when at least one replied and the reply timeout
     * has passed, or when the maximum duration has passed. Returns true only once, when the query
     * ends.
     */
    boolean finishIfDue(long now) {
        boolean allReplied = mAsked > 0 && mReplies.size() >= mAsked;
        boolean someReplied = !mReplies.isEmpty() && now - mAskedNanos >= REPLY_TIMEOUT_NANOS;
        if (mDone || !allReplied && !someReplied && now - mStartedNanos < MAXIMUM_DURATION_NANOS) {
            return false;
        }
        mDone = true;
        return true;
    }

    /** Returns the reply with the highest revision, or empty when there was no reply. */
    Optional<SpreadMessage.Digest> highest() {
        return mReplies.stream().max(Comparator.comparingLong(SpreadMessage.Digest::revision));
    }
}
