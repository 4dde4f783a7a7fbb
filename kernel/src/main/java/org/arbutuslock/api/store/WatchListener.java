package org.arbutuslock.api.store;

/** Gets the changes of a watch. */
public interface WatchListener {
    /**
     * A key was created or written.
     *
     * @param entry its new entry
     */
    void written(StoreEntry entry);

    /**
     * A key was deleted or expired.
     *
     * @param key full key
     * @param storeRevision revision of the store at the deletion
     */
    void deleted(String key, long storeRevision);

    /**
     * The watch has ended and delivers nothing more; watch again after the last seen revision.
     *
     * @param reason why it ended
     */
    void ended(String reason);
}
