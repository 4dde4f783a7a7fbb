package org.arbutuslock.testbed.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keeps the latest changes so that a watch can resume from a store revision. Holds at most 100,000
 * changes and 64 MiB and discards the oldest first. Not thread-safe.
 */
final class ChangeHistory {
    private static final int MAXIMUM_CHANGES = 100_000;
    private static final long MAXIMUM_BYTES = 64L << 20;

    private final TreeMap<Long, StoreChange> mChanges = new TreeMap<>();
    private long mBytes;
    private long mDiscardedThrough;

    void add(StoreChange change) {
        mChanges.put(change.storeRevision(), change);
        mBytes += sizeOf(change);
        while (mChanges.size() > MAXIMUM_CHANGES || mBytes > MAXIMUM_BYTES) {
            discard(mChanges.firstKey());
        }
    }

    /**
     * Returns up to {@code limit} changes in the order of their revisions, or empty when changes
     * after the revision have been discarded.
     */
    Optional<List<StoreChange>> changesAfter(long storeRevision, int limit) {
        if (storeRevision < mDiscardedThrough) {
            return Optional.empty();
        }
        List<StoreChange> changes = new ArrayList<>();
        for (StoreChange change : mChanges.tailMap(storeRevision, false).values()) {
            if (changes.size() == limit) {
                break;
            }
            changes.add(change);
        }
        return Optional.of(changes);
    }

    void discardAfter(long storeRevision) {
        while (!mChanges.isEmpty() && mChanges.lastKey() > storeRevision) {
            mBytes -= sizeOf(mChanges.pollLastEntry().getValue());
        }
        mDiscardedThrough = Math.min(mDiscardedThrough, storeRevision);
    }

    private void discard(long storeRevision) {
        mBytes -= sizeOf(mChanges.remove(storeRevision));
        mDiscardedThrough = storeRevision;
    }

    private static long sizeOf(StoreChange change) {
        return switch (change) {
            case StoreChange.Written written -> written.entry().value().length + 100L;
            case StoreChange.Deleted deleted -> 100L;
        };
    }
}
