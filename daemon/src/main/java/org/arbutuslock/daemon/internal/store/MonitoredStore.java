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
 * Counts the calls of a store and remembers whether the newest one got a response.
 *
 * <pre>{@code
 * MonitoredStore.Health health = store.health();
 * }</pre>
 */
public final class MonitoredStore implements PlatformStore {
    /** A node that does not watch the store learns its state by a read when somebody asks. */
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
     * Creates a monitor that has seen no call.
     *
     * @param store store to call
     * @param clock time of the last success
     */
    public MonitoredStore(PlatformStore store, Clock clock) {
        mStore = store;
        mClock = clock;
        mLastSuccessNanos = clock.nanoTime();
        mLastProbeNanos.set(clock.nanoTime() - PROBE_INTERVAL_NANOS);
    }

    /**
     * State of the store as its callers saw it.
     *
     * @param reachable true when the newest call got a response
     * @param reason why it is not reachable, otherwise empty
     * @param sinceSuccess time since the last response, or since the start when there was none
     */
    public record Health(boolean reachable, String reason, Duration sinceSuccess) {}

    /**
     * Returns the state. Without a response in the last 5 s this starts a read, whose result the
     * next call of this method shows.
     *
     * @return state after the newest call
     */
    public Health health() {
        probeIfStale();
        String failure = mFailureReason;
        return new Health(failure.isEmpty(), failure, sinceSuccess());
    }

    /**
     * Returns the age of what the store last said, without asking it.
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
     * @return calls since the start, a watch counts as one
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

    /** Passes everything on; an ended watch is a failed call. */
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
