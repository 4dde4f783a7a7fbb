package org.arbutuslock.api.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Reads, writes and watches the platform's key-value store. Every call completes with a typed
 * result; futures do not complete exceptionally.
 *
 * <pre>{@code
 * store.compareAndSwap("watchers/calgary-a/0", StoreEntry.ABSENT_VERSION, value, lease)
 *         .thenAccept(result -> ...);
 * }</pre>
 */
public interface PlatformStore extends AutoCloseable {
    /** Largest value that the store holds. */
    int MAXIMUM_VALUE_BYTES = 1 << 20;

    /** Lease number for entries that do not expire. */
    long NO_LEASE = 0;

    /**
     * Reads one key.
     *
     * @param key full key
     * @return found, absent or unavailable
     */
    CompletableFuture<ReadResult> read(String key);

    /**
     * Lists entries in the order of their keys.
     *
     * @param prefix start of all listed keys
     * @param startAfter key after which the list starts, or empty for the first
     * @param limit most entries to return, 1 to 1,000
     * @return a page or unavailable
     */
    CompletableFuture<ListResult> list(String prefix, String startAfter, int limit);

    /**
     * Writes a key if its version is the expected one.
     *
     * @param key full key
     * @param expectedVersion version to replace, or {@link StoreEntry#ABSENT_VERSION} to create
     * @param value new value, at most {@link #MAXIMUM_VALUE_BYTES}
     * @param lease lease with which the entry expires, or {@link #NO_LEASE}
     * @return applied, conflict, unavailable (not applied) or unknown (may have been applied, now
     *     or later)
     */
    CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedVersion, byte[] value, long lease);

    /**
     * Deletes a key if its version is the expected one.
     *
     * @param key full key
     * @param expectedVersion version to delete
     * @return applied, conflict, unavailable or unknown
     */
    CompletableFuture<WriteResult> delete(String key, long expectedVersion);

    /**
     * Creates a lease.
     *
     * @param duration time to live, renewed by {@link #renewLease(long)}
     * @return granted with the lease's number, or a failure
     */
    CompletableFuture<LeaseResult> grantLease(Duration duration);

    /**
     * Renews a lease for its whole duration.
     *
     * @param lease number of the lease
     * @return granted, expired or a failure
     */
    CompletableFuture<LeaseResult> renewLease(long lease);

    /**
     * Watches all keys with a prefix. The listener is called in the order of store revisions, from
     * one thread at a time. A watch that breaks calls {@link WatchListener#ended(String)} once.
     *
     * @param prefix start of all watched keys
     * @param afterStoreRevision revision after which changes are wanted, or 0 for new ones only
     * @param listener gets the changes
     * @return closes the watch
     */
    AutoCloseable watch(String prefix, long afterStoreRevision, WatchListener listener);

    @Override
    void close();
}
