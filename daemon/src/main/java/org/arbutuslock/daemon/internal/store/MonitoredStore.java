package org.arbutuslock.daemon.internal.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.api.store.WriteResult;

/**
 * Counts the calls of a store and records whether the most recent result was a response or a
 * failure. Thread-safe.
 *
 * <pre>{@code
 * MonitoredStore.Health health = store.health();
 * }</pre>
 */
public final class MonitoredStore implements PlatformStore {
    /**
     * health() sends a read when the last response is older than this, at most once in this time.
     * Without the read, the state would be outdated on a node that does not watch the store.
     */
    private static final long PROBE_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private static final String PROBED_KEY = "configuration/snapshot-head";

    private final PlatformStore mStore;
    private final Clock mClock;
    private final LongAdder mCalls = new LongAdder();
    private final LongAdder mFailures = new LongAdder();
    private final LongAdder mUnknownWrites = new LongAdder();
    private volatile long mLastSuccessNanos;
    private final AtomicLong mLastProbeNanos = new AtomicLong();
    private volatile String mFailureReason = "not called yet";

    /**
     * Creates a monitor without recorded calls. It reports the store as not reachable until the
     * first response.
     *
     * @param store store to call; closed with this monitor
     * @param clock time source
     */
    public MonitoredStore(PlatformStore store, Clock clock) {
        mStore = store;
        mClock = clock;
        mLastSuccessNanos = clock.nanoTime();
        mLastProbeNanos.set(clock.nanoTime() - PROBE_INTERVAL_NANOS);
    }

    /**
     * State of the store after its most recent result.
     *
     * @param reachable true when the most recent result was a response
     * @param reason why the store is not reachable; empty when it is
     * @param sinceSuccess time since the last response, or since the start when there was none
     */
    public record Health(boolean reachable, String reason, Duration sinceSuccess) {}

    /**
     * Returns the state. If the last result was a failure or is older than 5 s, this also starts a
     * read, at most once in 5 s. Later calls of this method return the result of the read.
     *
     * @return state after the most recent result
     */
    public Health health() {
        probeIfStale();
        String failure = mFailureReason;
        return new Health(failure.isEmpty(), failure, sinceSuccess());
    }

    /**
     * Returns the time since the last response, without calling the store.
     *
     * @return time since the last response, or since the start when there was none
     */
    public Duration sinceSuccess() {
        return Duration.ofNanos(Math.max(0, mClock.nanoTime() - mLastSuccessNanos));
    }

    private void probeIfStale() {
        long now = mClock.nanoTime();
        long checked = mLastProbeNanos.get();
        boolean fresh = mFailureReason.isEmpty() && now - mLastSuccessNanos < PROBE_INTERVAL_NANOS;
        if (!fresh
                && now - checked >= PROBE_INTERVAL_NANOS
                && mLastProbeNanos.compareAndSet(checked, now)) {
            read(PROBED_KEY);
        }
    }

    /**
     * Returns the number of calls.
     *
     * @return calls since the start; a watch counts as one call
     */
    public long calls() {
        return mCalls.sum();
    }

    /**
     * Returns the number of calls without a response.
     *
     * @return failed calls and ended watches since the start
     */
    public long failures() {
        return mFailures.sum();
    }

    /**
     * Returns the number of writes whose response was lost.
     *
     * @return writes of unknown outcome since the start
     */
    public long unknownWrites() {
        return mUnknownWrites.sum();
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        mCalls.increment();
        return mStore.read(key)
                .whenComplete(
                        (result, thrown) -> {
                            switch (result) {
                                case ReadResult.Unavailable(Failure failure) ->
                                        recordFailure(failure.reason());
                                case ReadResult.Found _, ReadResult.Absent _ -> recordSuccess();
                            }
                        });
    }

    @Override
    public CompletableFuture<ListResult> list(String prefix, String startAfter, int limit) {
        mCalls.increment();
        return mStore.list(prefix, startAfter, limit)
                .whenComplete(
                        (result, thrown) -> {
                            switch (result) {
                                case ListResult.Unavailable(Failure failure) ->
                                        recordFailure(failure.reason());
                                case ListResult.Page _ -> recordSuccess();
                            }
                        });
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedVersion, byte[] value, long lease) {
        mCalls.increment();
        return mStore.compareAndSwap(key, expectedVersion, value, lease)
                .whenComplete((result, thrown) -> record(result));
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        mCalls.increment();
        return mStore.delete(key, expectedVersion).whenComplete((result, thrown) -> record(result));
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration duration) {
        mCalls.increment();
        return mStore.grantLease(duration).whenComplete((result, thrown) -> record(result));
    }

    @Override
    public CompletableFuture<LeaseResult> renewLease(long lease) {
        mCalls.increment();
        return mStore.renewLease(lease).whenComplete((result, thrown) -> record(result));
    }

    @Override
    public AutoCloseable watch(String prefix, long afterStoreRevision, WatchListener listener) {
        mCalls.increment();
        return mStore.watch(prefix, afterStoreRevision, new MonitoredListener(listener));
    }

    @Override
    public void close() {
        mStore.close();
    }

    private void record(WriteResult result) {
        switch (result) {
            case WriteResult.Applied _, WriteResult.Conflict _ -> recordSuccess();
            case WriteResult.Unavailable(Failure failure) -> recordFailure(failure.reason());
            case WriteResult.Unknown(Failure failure) -> {
                mUnknownWrites.increment();
                recordFailure(failure.reason());
            }
        }
    }

    private void record(LeaseResult result) {
        switch (result) {
            case LeaseResult.Granted _, LeaseResult.Expired _ -> recordSuccess();
            case LeaseResult.Unavailable(Failure failure) -> recordFailure(failure.reason());
        }
    }

    private void recordSuccess() {
        mLastSuccessNanos = mClock.nanoTime();
        mFailureReason = "";
    }

    private void recordFailure(String reason) {
        mFailures.increment();
        mFailureReason = reason;
    }

    /** Forwards all events to another listener. Counts an ended watch as a failed call. */
    private final class MonitoredListener implements WatchListener {
        private final WatchListener mListener;

        MonitoredListener(WatchListener listener) {
            mListener = listener;
        }

        @Override
        public void written(StoreEntry entry) {
            recordSuccess();
            mListener.written(entry);
        }

        @Override
        public void deleted(String key, long storeRevision) {
            recordSuccess();
            mListener.deleted(key, storeRevision);
        }

        @Override
        public void ended(String reason) {
            recordFailure("watch ended: " + reason);
            mListener.ended(reason);
        }
    }
}
