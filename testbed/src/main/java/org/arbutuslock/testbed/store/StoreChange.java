package org.arbutuslock.testbed.store;

import org.arbutuslock.api.store.StoreEntry;

/** One change of the stand-in store. Each change has its own store revision. */
public sealed interface StoreChange {
    /**
     * Returns the key that changed.
     *
     * @return full key
     */
    String key();

    /**
     * Returns the position of this change.
     *
     * @return revision of the whole store after this change
     */
    long storeRevision();

    /**
     * A key was created or written.
     *
     * @param entry its new entry
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
     * A key was deleted or expired.
     *
     * @param key full key
     * @param storeRevision revision of the store at the deletion
     */
    record Deleted(String key, long storeRevision) implements StoreChange {}
}
