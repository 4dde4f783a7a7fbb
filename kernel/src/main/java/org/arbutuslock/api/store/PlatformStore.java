package org.arbutuslock.api.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value store. Failures are part of the result types; the returned
 * futures never complete exceptionally.
 *
 * <pre>{@code
 * store.compareAndSwap("watchers/calgary-a/0", StoreEntry.ABSENT_VERSION, value, lease)
 *         .thenAccept(result -> ...);
 * }</pre>
 */
public interface PlatformStore extends AutoCloseable {
    /** Size limit of a value in bytes. */
    int MAXIMUM_VALUE_BYTES = 1 << 20;

    /** Lease number for entries that do not expire. */
    long NO_LEASE = 0;

    /**
     * Reads one key.
     *
     * @param key full key
     * @return completes with found, absent or unavailable
     */
    CompletableFuture<ReadResult> read(String key);

    /**
     * Lists entries in the order of their keys.
     *
     * @param prefix prefix of the listed keys
     * @param startAfter key after which the list starts, or empty to start at the first key
     * @param limit maximum number of entries to return, 1 to 1,000
     * @return completes with a page or unavailable
     */
    CompletableFuture<ListResult> list(String prefix, String startAfter, int limit);

    /**
     * Writes a key if its version is the expected one.
     *
     * @param key full key
     * @param expectedVersion version to replace, or {@link StoreEntry#ABSENT_VERSION} to create
     * @param value new value, at most {@link #MAXIMUM_VALUE_BYTES}
     * @param lease lease with which the entry expires, or {@link #NO_LEASE}
     * @return completes with applied, conflict, unavailable (not applied) or unknown (may have been
     *     applied, or may be applied later)
     */
    CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedVersion, byte[] value, long lease);

    /**
     * Deletes a key if its version is the expected one.
     *
     * @param key full key
     * @param expectedVersion version to delete
     * @return completes with applied, conflict, unavailable or unknown
     */
    CompletableFuture<WriteResult> delete(String key, long expectedVersion);

    /**
     * Creates a lease.
     *
     * @param duration time to live, renewed by {@link #renewLease(long)}
     * @return completes with granted, which has the number of the lease, or unavailable
     */
    CompletableFuture<LeaseResult> grantLease(Duration duration);

    /**
     * Renews a lease for its full duration.
     *
     * @param lease number of the lease
     * @return completes with granted, expired or unavailable
     */
    CompletableFuture<LeaseResult> renewLease(long lease);

    /**
     * Watches all keys with a prefix. The listener is called in the order of store revisions, by
     * one thread at a time. When the watch fails, {@link WatchListener#ended(String)} is called
     * once.
     *
     * @param prefix prefix of the watched keys
     * @param afterStoreRevision revision after which changes are delivered, or 0 to deliver only
     *     changes made from now on
     * @param listener receives the changes
     * @return handle that closes the watch
     */
    AutoCloseable watch(String prefix, long afterStoreRevision, WatchListener listener);

    @Override
    void close();
}
