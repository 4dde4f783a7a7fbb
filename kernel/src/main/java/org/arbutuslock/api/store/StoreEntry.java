package org.arbutuslock.api.store;

/**
 * One key of the store with its value. The value array must not be changed.
 *
 * @param key full key
 * @param version version of this key: 1 at creation, incremented by each write
 * @param storeRevision revision of the whole store at the last write of this key
 * @param value value of the key
 */
public record StoreEntry(String key, long version, long storeRevision, byte[] value) {
    /** Version of a key that does not exist. */
    public static final long ABSENT_VERSION = 0;
}
