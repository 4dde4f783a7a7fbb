package org.arbutuslock.api.store;

/** Receives the changes of a watch. */
public interface WatchListener {
    /**
     * Called when a key was created or written.
     *
     * @param entry new entry of the key
     */
    void written(StoreEntry entry);

    /**
     * Called when a key was deleted or its lease expired.
     *
     * @param key full key
     * @param storeRevision revision of the store at the deletion
     */
    void deleted(String key, long storeRevision);

    /**
     * Called when the watch has ended; no further calls follow. To continue, start a new watch
     * after the last received revision.
     *
     * @param reason why the watch ended
     */
    void ended(String reason);
}
