package org.arbutuslock.internal.configuration.spread;

import java.util.TreeMap;
import org.arbutuslock.internal.configuration.ConfigurationChange;

/**
 * Buffers changes that arrived before an earlier change. When a limit is exceeded, the changes with
 * the highest revisions are dropped.
 */
final class WaitingChanges {
    private static final int MAXIMUM_CHANGES = 256;

    /** Limit on the operations of all buffered changes together; one change is always kept. */
    private static final int MAXIMUM_OPERATIONS = 40_000;

    private final TreeMap<Long, Entry> mEntries = new TreeMap<>();
    private int mOperations;

    /**
     * A buffered change.
     *
     * @param peer name of the node that sent the change, or empty when this node applied it
     * @param change the change
     * @param origin location where the change came from the store
     */
    record Entry(String peer, ConfigurationChange change, SpreadMessage.Origin origin) {}

    int count() {
        return mEntries.size();
    }

    void add(Entry entry) {
        if (mEntries.putIfAbsent(entry.change().revision(), entry) == null) {
            mOperations += entry.change().operations().size();
        }
        while (mEntries.size() > MAXIMUM_CHANGES
                || mOperations > MAXIMUM_OPERATIONS && mEntries.size() > 1) {
            subtractOperations(mEntries.pollLastEntry().getValue());
        }
    }

    /**
     * Removes and returns the change of a revision, or null when it has not arrived. Changes of
     * lower revisions are dropped.
     */
    Entry take(long revision) {
        while (!mEntries.isEmpty() && mEntries.firstKey() < revision) {
            subtractOperations(mEntries.pollFirstEntry().getValue());
        }
        Entry entry = mEntries.remove(revision);
        if (entry != null) {
            subtractOperations(entry);
        }
        return entry;
    }

    void clear() {
        mEntries.clear();
        mOperations = 0;
    }

    private void subtractOperations(Entry entry) {
        mOperations -= entry.change().operations().size();
    }
}
