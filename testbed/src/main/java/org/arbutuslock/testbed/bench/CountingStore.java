package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.api.store.WriteResult;

/**
 * In-memory store that completes every call immediately and counts reads, lists, writes and
 * watches. It does not support deletes and leases, and its watches report nothing.
 */
final class CountingStore implements PlatformStore {
    private final TreeMap<String, StoreEntry> mEntries = new TreeMap<>();
    private long mStoreRevision;
    private int mCalls;

    int calls() {
        return mCalls;
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        mCalls++;
        StoreEntry entry = mEntries.get(key);
        return CompletableFuture.completedFuture(
                entry == null ? new ReadResult.Absent() : new ReadResult.Found(entry));
    }

    @Override
    public CompletableFuture<ListResult> list(String prefix, String startAfter, int limit) {
        mCalls++;
        String start = startAfter.compareTo(prefix) < 0 ? prefix : startAfter;
        List<StoreEntry> found =
                mEntries.tailMap(start, false).values().stream()
                        .takeWhile(entry -> entry.key().startsWith(prefix))
                        .limit(limit + 1L)
                        .toList();
        boolean more = found.size() > limit;
        return CompletableFuture.completedFuture(
                new ListResult.Page(more ? found.subList(0, limit) : found, more, mStoreRevision));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedVersion, byte[] value, long lease) {
        mCalls++;
        StoreEntry old = mEntries.get(key);
        long version = old == null ? StoreEntry.ABSENT_VERSION : old.version();
        if (version != expectedVersion) {
            return CompletableFuture.completedFuture(new WriteResult.Conflict(version));
        }
        mEntries.put(key, new StoreEntry(key, version + 1, ++mStoreRevision, value));
        return CompletableFuture.completedFuture(
                new WriteResult.Applied(version + 1, mStoreRevision));
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        return CompletableFuture.completedFuture(new WriteResult.Unavailable(unsupported()));
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration duration) {
        return CompletableFuture.completedFuture(new LeaseResult.Unavailable(unsupported()));
    }

    @Override
    public CompletableFuture<LeaseResult> renewLease(long lease) {
        return CompletableFuture.completedFuture(new LeaseResult.Unavailable(unsupported()));
    }

    @Override
    public AutoCloseable watch(String prefix, long afterStoreRevision, WatchListener listener) {
        mCalls++;
        return () -> {};
    }

    @Override
    public void close() {
        mEntries.clear();
    }

    private static Failure unsupported() {
        return new Failure(
                "call", "counting store", "CountingStore does not support deletes and leases");
    }
}
