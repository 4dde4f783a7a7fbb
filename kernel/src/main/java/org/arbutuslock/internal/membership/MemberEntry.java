package org.arbutuslock.internal.membership;

import java.nio.ByteBuffer;

/** What a node knows about one node, itself included. Confined to one protocol. */
final class MemberEntry {
    private static final int RANK_BITS = 16;

    private final String mNode;
    private final long mKey;
    private final long mRanks;
    private NodeRecord mRecord;
    private Tombstone mDeparture;
    private long mDepartedNanos;
    private boolean mSuspected;
    private long mSuspectedNanos;
    private boolean mHeard;
    private long mHeardNanos;

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

    /** Returns the weight of the node in the rendezvous hash of one salt. */
    int rank(int salt) {
        return (int) (mRanks >>> (RANK_BITS * salt)) & 0xFFFF;
    }

    boolean isLive() {
        return mRecord != null;
    }

    /** Returns the newest record; null when the node is gone. */
    NodeRecord record() {
        return mRecord;
    }

    /** Returns the tombstone; null when the node is live. */
    Tombstone departure() {
        return mDeparture;
    }

    long incarnation() {
        return isLive() ? mRecord.incarnation() : mDeparture.incarnation();
    }

    long version() {
        return isLive() ? mRecord.version() : mDeparture.version();
    }

    /** Compares a state with the known one: negative when it is older. */
    int compareTo(long incarnation, long version) {
        int byIncarnation = Long.compare(incarnation, incarnation());
        return byIncarnation != 0 ? byIncarnation : Long.compare(version, version());
    }

    long stampHash() {
        return StableHash.ofStamp(mKey, incarnation(), version());
    }

    MembershipUpdate statement() {
        return isLive()
                ? new MembershipUpdate.Present(mRecord)
                : new MembershipUpdate.Departed(mDeparture);
    }

    void setRecord(NodeRecord record) {
        mRecord = record;
        mDeparture = null;
        mSuspected = false;
    }

    void setDeparture(Tombstone departure, long nowNanos) {
        mRecord = null;
        mDeparture = departure;
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

    void suspect(long nowNanos) {
        mSuspected = true;
        mSuspectedNanos = nowNanos;
    }

    void hear(long nowNanos) {
        mHeard = true;
        mHeardNanos = nowNanos;
    }

    /** Tells whether the node gave a sign of life at or after a time. */
    boolean isHeardSince(long nanos) {
        return mHeard && mHeardNanos - nanos >= 0;
    }
}
