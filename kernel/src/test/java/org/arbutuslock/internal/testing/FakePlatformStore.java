package org.arbutuslock.internal.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.api.store.WriteResult;

/**
 * In-memory {@link PlatformStore} with simulated time, latency and faults. Single-threaded: all
 * calls take effect in tasks of the {@link SimulatedTimer}.
 */
public final class FakePlatformStore implements PlatformStore {
    private static final Duration TIMEOUT = Duration.ofMillis(200);
    private static final Failure NO_RESPONSE = new Failure("call", "fake store", "no response");
    private static final Failure REFUSED = new Failure("call", "fake store", "connection refused");

    /** Fault that is injected into one call. */
    public enum Fault {
        /** The call succeeds. */
        NONE,
        /** The connection is refused; the call has no effect. */
        DOWN,
        /** The call takes effect after 1000 times the latency, and the response arrives. */
        SLOW,
        /** The call takes effect, but its response is lost and the client times out. */
        RESPONSE_LOST,
        /** The request is lost: no effect, and the client times out without knowing the outcome. */
        REQUEST_LOST,
        /** The client times out, and the call takes effect afterwards. */
        APPLIED_LATER
    }

    private final SimulatedTimer mTimer;
    private final Function<String, Fault> mFaults;
    private final Supplier<Duration> mLatency;
    private final Map<String, Integer> mCalls = new HashMap<>();
    private final TreeMap<String, StoreEntry> mEntries = new TreeMap<>();
    private final List<StoreEntry> mWrites = new ArrayList<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final Map<Long, Long> mLeaseEnds = new HashMap<>();
    private final Map<Long, Duration> mLeaseDurations = new HashMap<>();
    private final Map<String, Long> mLeaseByKey = new HashMap<>();
    private long mStoreRevision;

    private static final class Watch {
        private final String mPrefix;
        private final WatchListener mListener;
        private boolean mStalled;

        Watch(String prefix, WatchListener listener) {
            mPrefix = prefix;
            mListener = listener;
        }
    }

    /**
     * Creates a store.
     *
     * @param timer simulated time, which also runs the effects of all calls
     * @param faults chooses the fault of a call by its kind: read, list, write, delete or lease
     * @param latency one-way latency of each call
     */
    public FakePlatformStore(
            SimulatedTimer timer, Function<String, Fault> faults, Supplier<Duration> latency) {
        mTimer = timer;
        mFaults = faults;
        mLatency = latency;
    }

    /** Returns the number of calls of a kind: read, list, write, delete, lease or watch. */
    public int calls(String kind) {
        return mCalls.getOrDefault(kind, 0);
    }

    /** Returns the live map of all entries by key; reading it counts as no call. */
    public TreeMap<String, StoreEntry> entries() {
        return mEntries;
    }

    /** Replaces all entries, as restoring a backup does; no watch is notified. */
    public void restore(Map<String, StoreEntry> backup) {
        mEntries.clear();
        mEntries.putAll(backup);
    }

    /** Ends all watches and notifies their listeners. */
    public void endWatches() {
        List<Watch> ended = List.copyOf(mWatches);
        mWatches.clear();
        ended.forEach(watch -> watch.mListener.ended("connection closed"));
    }

    /** Stalls all open watches: they deliver no more events and do not report an end. */
    public void stallWatches() {
        mWatches.forEach(watch -> watch.mStalled = true);
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return call("read", () -> readNow(key), new ReadResult.Unavailable(REFUSED), null);
    }

    private ReadResult readNow(String key) {
        StoreEntry entry = mEntries.get(key);
        return entry == null ? new ReadResult.Absent() : new ReadResult.Found(entry);
    }

    @Override
    public CompletableFuture<ListResult> list(String prefix, String startAfter, int limit) {
        return call(
                "list",
                () -> listNow(prefix, startAfter, limit),
                new ListResult.Unavailable(REFUSED),
                null);
    }

    private ListResult listNow(String prefix, String startAfter, int limit) {
        String start = startAfter.compareTo(prefix) < 0 ? prefix : startAfter;
        List<StoreEntry> found =
                mEntries.tailMap(start, false).values().stream()
                        .takeWhile(entry -> entry.key().startsWith(prefix))
                        .limit(limit + 1L)
                        .toList();
        boolean more = found.size() > limit;
        return new ListResult.Page(more ? found.subList(0, limit) : found, more, mStoreRevision);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedVersion, byte[] value, long lease) {
        if (value.length > MAXIMUM_VALUE_BYTES) {
            throw new IllegalArgumentException(key + " has " + value.length + " bytes");
        }
        return call(
                "write",
                () -> writeNow(key, expectedVersion, value, lease),
                new WriteResult.Unavailable(REFUSED),
                new WriteResult.Unknown(NO_RESPONSE));
    }

    private WriteResult writeNow(String key, long expectedVersion, byte[] value, long lease) {
        long version = versionOf(key);
        if (version != expectedVersion) {
            return new WriteResult.Conflict(version);
        }
        StoreEntry entry = new StoreEntry(key, version + 1, ++mStoreRevision, value.clone());
        mEntries.put(key, entry);
        mWrites.add(entry);
        mLeaseByKey.put(key, lease);
        mWatches.forEach(watch -> deliver(watch, entry));
        return new WriteResult.Applied(entry.version(), entry.storeRevision());
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        return call(
                "delete",
                () -> deleteNow(key, expectedVersion),
                new WriteResult.Unavailable(REFUSED),
                new WriteResult.Unknown(NO_RESPONSE));
    }

    private WriteResult deleteNow(String key, long expectedVersion) {
        long version = versionOf(key);
        if (version != expectedVersion || version == StoreEntry.ABSENT_VERSION) {
            return new WriteResult.Conflict(version);
        }
        mEntries.remove(key);
        long revision = ++mStoreRevision;
        for (Watch watch : List.copyOf(mWatches)) {
            if (!watch.mStalled && key.startsWith(watch.mPrefix)) {
                watch.mListener.deleted(key, revision);
            }
        }
        return new WriteResult.Applied(version, revision);
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration duration) {
        return call("lease", () -> grantNow(duration), new LeaseResult.Unavailable(REFUSED), null);
    }

    private LeaseResult grantNow(Duration duration) {
        long lease = mLeaseDurations.size() + 1L;
        mLeaseDurations.put(lease, duration);
        return extend(lease);
    }

    @Override
    public CompletableFuture<LeaseResult> renewLease(long lease) {
        return call(
                "lease",
                () -> mLeaseEnds.containsKey(lease) ? extend(lease) : new LeaseResult.Expired(),
                new LeaseResult.Unavailable(REFUSED),
                null);
    }

    private LeaseResult extend(long lease) {
        Duration duration = mLeaseDurations.get(lease);
        long end = mTimer.clock().nanoTime() + duration.toNanos();
        mLeaseEnds.put(lease, end);
        mTimer.runAfter(duration, () -> expire(lease, end));
        return new LeaseResult.Granted(lease, duration.toMillis());
    }

    private void expire(long lease, long end) {
        if (mLeaseEnds.remove(lease, end)) {
            mLeaseByKey.entrySet().stream()
                    .filter(entry -> entry.getValue() == lease)
                    .map(Map.Entry::getKey)
                    .toList()
                    .forEach(key -> deleteNow(key, versionOf(key)));
        }
    }

    @Override
    public AutoCloseable watch(String prefix, long afterStoreRevision, WatchListener listener) {
        mCalls.merge("watch", 1, Integer::sum);
        Watch watch = new Watch(prefix, listener);
        mWatches.add(watch);
        if (afterStoreRevision > 0) {
            mWrites.stream()
                    .filter(entry -> entry.storeRevision() > afterStoreRevision)
                    .forEach(entry -> deliver(watch, entry));
        }
        return () -> mWatches.remove(watch);
    }

    private void deliver(Watch watch, StoreEntry entry) {
        if (entry.key().startsWith(watch.mPrefix)) {
            mTimer.runAfter(
                    Duration.ofMillis(1),
                    () -> {
                        if (!watch.mStalled && mWatches.contains(watch)) {
                            watch.mListener.written(entry);
                        }
                    });
        }
    }

    private long versionOf(String key) {
        StoreEntry entry = mEntries.get(key);
        return entry == null ? StoreEntry.ABSENT_VERSION : entry.version();
    }

    /**
     * Simulates one call.
     *
     * @param kind kind of the call, by which its fault is chosen
     * @param effect runs the call on the store
     * @param refused result when the connection is refused
     * @param responseLost result when the client times out, or null to use {@code refused} because
     *     the call needs no distinction, such as a read
     */
    private <T> CompletableFuture<T> call(
            String kind, Supplier<T> effect, T refused, T responseLost) {
        mCalls.merge(kind, 1, Integer::sum);
        CompletableFuture<T> future = new CompletableFuture<>();
        Fault fault = mFaults.apply(kind);
        Duration latency = mLatency.get();
        T lost = responseLost == null ? refused : responseLost;
        switch (fault) {
            case NONE -> respondAfter(latency, effect, future);
            case SLOW -> respondAfter(latency.multipliedBy(1000), effect, future);
            case DOWN -> mTimer.runAfter(latency, () -> future.complete(refused));
            case RESPONSE_LOST -> mTimer.runAfter(latency, effect::get);
            case APPLIED_LATER -> mTimer.runAfter(TIMEOUT.multipliedBy(5), effect::get);
            case REQUEST_LOST -> {}
        }
        boolean lostCall = fault != Fault.NONE && fault != Fault.SLOW && fault != Fault.DOWN;
        if (lostCall) {
            mTimer.runAfter(TIMEOUT, () -> future.complete(lost));
        }
        return future;
    }

    private <T> void respondAfter(
            Duration latency, Supplier<T> effect, CompletableFuture<T> future) {
        mTimer.runAfter(
                latency,
                () -> {
                    T response = effect.get();
                    mTimer.runAfter(latency, () -> future.complete(response));
                });
    }

    @Override
    public void close() {
        mWatches.clear();
    }
}
