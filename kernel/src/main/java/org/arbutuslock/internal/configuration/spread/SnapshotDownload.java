package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.BitSet;
import java.util.Optional;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.MalformedConfigurationException;
import org.arbutuslock.internal.configuration.SnapshotAssembler;

/** Receives the parts of one snapshot from one peer, a few at a time. */
final class SnapshotDownload {
    /** Parts that are requested at once; below 256 KiB are on the way. */
    static final int WINDOW_PARTS = 4;

    private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    private static final int MAXIMUM_TRIES = 8;
    private static final int UNKNOWN = -1;

    private final SpreadMessage.Sender mPeer;
    private final long mMinimumRevision;
    private final SnapshotAssembler mAssembler = new SnapshotAssembler();
    private final BitSet mReceived = new BitSet();
    private long mRevision;
    private int mParts = UNKNOWN;
    private long mRequestedNanos;
    private int mTries;

    /** Starts a download of at least the revision that the peer announced. */
    SnapshotDownload(SpreadMessage.Sender peer, long minimumRevision) {
        mPeer = peer;
        mMinimumRevision = minimumRevision;
    }

    SpreadMessage.Sender peer() {
        return mPeer;
    }

    long minimumRevision() {
        return mMinimumRevision;
    }

    /** Returns the next request; its revision is 0 until the first part told it. */
    SpreadMessage.SnapshotRequest request(SpreadMessage.Sender self, long now) {
        mRequestedNanos = now;
        mTries++;
        int first = mReceived.nextClearBit(0);
        int end = first - first % WINDOW_PARTS + WINDOW_PARTS;
        return new SpreadMessage.SnapshotRequest(self, mRevision, first, end - first);
    }

    boolean isRequestDue(long now) {
        return now - mRequestedNanos >= RETRY_INTERVAL_NANOS;
    }

    boolean hasFailed() {
        return mTries > MAXIMUM_TRIES;
    }

    boolean belongsTo(SpreadMessage.SnapshotPart part) {
        boolean sameSnapshot =
                mParts == UNKNOWN || part.revision() == mRevision && part.parts() == mParts;
        return part.sender().equals(mPeer) && sameSnapshot;
    }

    /** Adds a part and tells whether its window is complete. */
    boolean add(SpreadMessage.SnapshotPart part) throws MalformedConfigurationException {
        mRevision = part.revision();
        mParts = part.parts();
        if (mReceived.get(part.part())) {
            return false;
        }
        mAssembler.add(part.data());
        mReceived.set(part.part());
        mTries = 0;
        int missing = mReceived.nextClearBit(0);
        return missing == mParts || missing % WINDOW_PARTS == 0 && missing > part.part();
    }

    /** Returns the configuration once all parts are there; it is checked as a whole. */
    Optional<Configuration> complete() throws MalformedConfigurationException {
        return mReceived.cardinality() == mParts ? mAssembler.complete() : Optional.empty();
    }
}
