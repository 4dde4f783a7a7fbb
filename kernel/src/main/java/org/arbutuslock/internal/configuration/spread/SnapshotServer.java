package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.List;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.SnapshotCodec;

/** Serves parts of one snapshot, which is kept while peers ask for it. */
final class SnapshotServer {
    /** Parts per tick of 100 ms; 8 parts are 4 MB/s, an eighth of a 30 Mbit/s link per peer. */
    private static final int PARTS_PER_TICK = 8;

    private static final long IDLE_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

    private List<byte[]> mParts = List.of();
    private long mRevision;
    private long mUsedNanos;
    private int mAllowedParts = PARTS_PER_TICK;

    void tick(long now) {
        mAllowedParts = PARTS_PER_TICK;
        if (!mParts.isEmpty() && now - mUsedNanos > IDLE_TIMEOUT_NANOS) {
            mParts = List.of();
            mRevision = 0;
        }
    }

    /** Makes a snapshot when the kept one cannot be brought up to date by recent changes. */
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

    /** Returns a part, or null when it does not exist or the limit of this tick is reached. */
    byte[] take(int part) {
        if (part >= mParts.size() || mAllowedParts == 0) {
            return null;
        }
        mAllowedParts--;
        return mParts.get(part);
    }
}
