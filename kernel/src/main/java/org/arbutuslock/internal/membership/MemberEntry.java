package org.arbutuslock.internal.membership;

import java.nio.ByteBuffer;

/**
 * Mutable state of one known node, which may be the local one: its record or tombstone, a
 * suspicion, and the last time a message of the node arrived. Owned by one {@link GossipProtocol};
 * not thread-safe.
 */
final class MemberEntry {
    private static final int RANK_BITS = 16;

    private final String mNode;
    private final long mKey;
    private final long mRanks;
    private NodeRecord mRecord;
    private Tombstone mTombstone;
    private long mDepartedNanos;
    private boolean mSuspected;
    private long mSuspectedNanos;
    private boolean mHasContact;
    private long mLastContactNanos;

    MemberEntry(String node) {
        ByteBuffer hash = StableHash.ofName(node);
        mNode = node;
        mKey = hash.getLong();
        mRanks = hash.getLong();
    }

    String node() {
        return mNode;
    }

    long key() {
        return mKey;
    }

    /** Returns the node's 16-bit rank in the rendezvous hash of a salt; the lowest ranks win. */
    int rank(int salt) {
        return (int) (mRanks >>> (RANK_BITS * salt)) & 0xFFFF;
    }

    boolean isLive() {
        return mRecord != null;
    }

    /** Returns the newest record; null when the node has departed. */
    NodeRecord record() {
        return mRecord;
    }

    /** Returns the tombstone; null when the node is live. */
    Tombstone tombstone() {
        return mTombstone;
    }

    long incarnation() {
        return isLive() ? mRecord.incarnation() : mTombstone.incarnation();
    }

    long version() {
        return isLive() ? mRecord.version() : mTombstone.version();
    }

    /** Compares a state with the known one: negative when the given state is older. */
    int compareTo(long incarnation, long version) {
        int byIncarnation = Long.compare(incarnation, incarnation());
        return byIncarnation != 0 ? byIncarnation : Long.compare(version, version());
    }

    long stampHash() {
        return StableHash.ofStamp(mKey, incarnation(), version());
    }

    MembershipUpdate update() {
        return isLive()
                ? new MembershipUpdate.Present(mRecord)
                : new MembershipUpdate.Departed(mTombstone);
    }

    void setRecord(NodeRecord record) {
        mRecord = record;
        mTombstone = null;
        mSuspected = false;
    }

    void setTombstone(Tombstone tombstone, long nowNanos) {
        mRecord = null;
        mTombstone = tombstone;
        mDepartedNanos = nowNanos;
        mSuspected = false;
    }

    long departedNanos() {
        return mDepartedNanos;
    }

    boolean isSuspected() {
        return mSuspected;
    }

    long suspectedNanos() {
        return mSuspectedNanos;
    }

    void markSuspected(long nowNanos) {
        mSuspected = true;
        mSuspectedNanos = nowNanos;
    }

    void recordContact(long nowNanos) {
        mHasContact = true;
        mLastContactNanos = nowNanos;
    }

    /** Tells whether a message of the node arrived at or after a time in nanoseconds. */
    boolean hasContactSince(long nanos) {
        return mHasContact && mLastContactNanos - nanos >= 0;
    }
}
