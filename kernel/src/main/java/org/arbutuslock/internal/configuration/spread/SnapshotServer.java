package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.List;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.SnapshotCodec;

/**
 * Serves the parts of one encoded snapshot to all peers. The snapshot is dropped when no peer has
 * asked for it for some time.
 */
final class SnapshotServer {
    /**
     * Parts sent per tick of 100 ms to all peers together. 8 parts per tick are 4 MB/s; each of 8
     * peers gets an eighth of a 30 Mbit/s link.
     */
    private static final int PARTS_PER_TICK = 8;

    private static final long IDLE_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

    private List<byte[]> mParts = List.of();
    private long mRevision;
    private long mUsedNanos;
    private int mAllowedParts = PARTS_PER_TICK;

    /** Resets the limit on parts and drops an unused snapshot. */
    void tick(long now) {
        mAllowedParts = PARTS_PER_TICK;
        if (!mParts.isEmpty() && now - mUsedNanos > IDLE_TIMEOUT_NANOS) {
            mParts = List.of();
            mRevision = 0;
        }
    }

    /**
     * Encodes the current configuration, unless the kept snapshot is recent enough that a peer can
     * catch up from it with the changes since {@code firstHeld}.
     */
    void prepare(Configuration current, long firstHeld, long now) {
        mUsedNanos = now;
        if (mParts.isEmpty() || mRevision < firstHeld - 1) {
            mParts = SnapshotCodec.encodeForPeers(current);
            mRevision = current.revision();
        }
    }

    long revision() {
        return mRevision;
    }

    int parts() {
        return mParts.size();
    }

    /** Returns a part, or null when it does not exist or the limit per tick is reached. */
    byte[] take(int part) {
        if (part >= mParts.size() || mAllowedParts == 0) {
            return null;
        }
        mAllowedParts--;
        return mParts.get(part);
    }
}
