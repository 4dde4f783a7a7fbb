package org.arbutuslock.testbed.store;

import org.arbutuslock.api.store.StoreEntry;

/** One change of a key. Each change has its own store revision. */
public sealed interface StoreChange {
    /**
     * Returns the key that changed.
     *
     * @return full key
     */
    String key();

    /**
     * Returns the revision that this change produced.
     *
     * @return revision of the whole store after this change
     */
    long storeRevision();

    /**
     * A key was created or its value replaced.
     *
     * @param entry entry after the write
     */
    record Written(StoreEntry entry) implements StoreChange {
        @Override
        public String key() {
            return entry.key();
        }

        @Override
        public long storeRevision() {
            return entry.storeRevision();
        }
    }

    /**
     * A key was deleted by a client or with its expired lease.
     *
     * @param key full key
     * @param storeRevision revision of the whole store after the deletion
     */
    record Deleted(String key, long storeRevision) implements StoreChange {}
}
