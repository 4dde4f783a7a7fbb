package org.arbutuslock.internal.configuration;

import java.util.Arrays;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * Ids of the newest changes. They serve to recognize a change that is submitted again without a
 * search of the store. Immutable; takes 16 bytes per change, in chunks that are shared with later
 * instances.
 *
 * <pre>{@code
 * RecentChanges recent = RecentChanges.startingAfter(7).append(changeId); // revision 8
 * OptionalLong revision = recent.revisionOf(changeId);
 * }</pre>
 */
final class RecentChanges {
    private static final int CHUNK_CHANGES = 256;

    /** 128 chunks hold 32,768 changes: 18 hours at 43,000 changes a day, in 512 KB. */
    private static final int MAXIMUM_CHUNKS = 128;

    static final int MAXIMUM_CHANGES = CHUNK_CHANGES * MAXIMUM_CHUNKS;

    private static final int LONGS_PER_ID = 2;
    private static final long[][] NO_CHUNKS = {};

    private final long mFirstRevision;
    private final int mCount;
    private final long[][] mChunks;

    private RecentChanges(long firstRevision, int count, long[][] chunks) {
        mFirstRevision = firstRevision;
        mCount = count;
        mChunks = chunks;
    }

    static RecentChanges startingAfter(long revision) {
        return new RecentChanges(revision + 1, 0, NO_CHUNKS);
    }

    long firstRevision() {
        return mFirstRevision;
    }

    int count() {
        return mCount;
    }

    /** Returns the id of a revision, or null when the revision is not among the recent ones. */
    UUID idOf(long revision) {
        long index = revision - mFirstRevision;
        return index < 0 || index >= mCount ? null : idAt((int) index);
    }

    OptionalLong revisionOf(UUID changeId) {
        long high = changeId.getMostSignificantBits();
        long low = changeId.getLeastSignificantBits();
        for (int index = mCount - 1; index >= 0; index--) {
            long[] chunk = mChunks[index / CHUNK_CHANGES];
            int offset = index % CHUNK_CHANGES * LONGS_PER_ID;
            if (chunk[offset] == high && chunk[offset + 1] == low) {
                return OptionalLong.of(mFirstRevision + index);
            }
        }
        return OptionalLong.empty();
    }

    RecentChanges append(UUID changeId) {
        RecentChanges base = mCount == MAXIMUM_CHANGES ? withoutOldestChunk() : this;
        int chunkIndex = base.mCount / CHUNK_CHANGES;
        int offset = base.mCount % CHUNK_CHANGES * LONGS_PER_ID;
        long[][] chunks = Arrays.copyOf(base.mChunks, chunkIndex + 1);
        chunks[chunkIndex] =
                chunks[chunkIndex] == null
                        ? new long[LONGS_PER_ID]
                        : Arrays.copyOf(chunks[chunkIndex], offset + LONGS_PER_ID);
        chunks[chunkIndex][offset] = changeId.getMostSignificantBits();
        chunks[chunkIndex][offset + 1] = changeId.getLeastSignificantBits();
        return new RecentChanges(base.mFirstRevision, base.mCount + 1, chunks);
    }

    private RecentChanges withoutOldestChunk() {
        return new RecentChanges(
                mFirstRevision + CHUNK_CHANGES,
                mCount - CHUNK_CHANGES,
                Arrays.copyOfRange(mChunks, 1, mChunks.length));
    }

    private UUID idAt(int index) {
        long[] chunk = mChunks[index / CHUNK_CHANGES];
        int offset = index % CHUNK_CHANGES * LONGS_PER_ID;
        return new UUID(chunk[offset], chunk[offset + 1]);
    }
}
