package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.BitSet;
import java.util.Optional;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.MalformedConfigurationException;
import org.arbutuslock.internal.configuration.SnapshotAssembler;

/** Downloads the parts of one snapshot from one peer, one window of parts at a time. */
final class SnapshotDownload {
    /** Parts of one request. At most 4 parts, less than 256 KiB, are in flight at once. */
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

    /** Creates a download of a snapshot whose revision is at least the announced one. */
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

    /**
     * Returns the request for the first window with a missing part and counts it as a try. The
     * revision of the request is 0 until the first part has arrived.
     */
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

    /** Returns whether too many requests in a row brought no new part. */
    boolean hasFailed() {
        return mTries > MAXIMUM_TRIES;
    }

    /** Returns whether a part comes from the peer and, after the first part, the same snapshot. */
    boolean belongsTo(SpreadMessage.SnapshotPart part) {
        boolean sameSnapshot =
                mParts == UNKNOWN || part.revision() == mRevision && part.parts() == mParts;
        return part.sender().equals(mPeer) && sameSnapshot;
    }

    /** Adds a part and returns whether it completed its window. Known parts are ignored. */
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

    /**
     * Returns the configuration, or empty while parts are missing.
     *
     * @throws MalformedConfigurationException when the assembled configuration is invalid
     */
    Optional<Configuration> complete() throws MalformedConfigurationException {
        return mReceived.cardinality() == mParts ? mAssembler.complete() : Optional.empty();
    }
}
