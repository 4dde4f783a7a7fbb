package org.arbutuslock.internal.configuration.spread;

import java.util.TreeMap;
import org.arbutuslock.internal.configuration.ConfigurationChange;

/** Changes that arrived before their predecessors. Bounded; the farthest ones are dropped. */
final class WaitingChanges {
    private static final int MAXIMUM_CHANGES = 256;
    private static final int MAXIMUM_OPERATIONS = 40_000;

    private final TreeMap<Long, Entry> mEntries = new TreeMap<>();
    private int mOperations;

    /** A change with its sender and the place at which it entered. */
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

    /** Removes and returns the change of a revision, or null; drops older ones. */
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
