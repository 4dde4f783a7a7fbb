package org.arbutuslock.daemon.internal.store;

import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.LeaseResult;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.WatchListener;
import org.arbutuslock.api.store.WriteResult;
import org.arbutuslock.platform.v1.CompareAndSwapRequest;
import org.arbutuslock.platform.v1.DeleteRequest;
import org.arbutuslock.platform.v1.GrantLeaseRequest;
import org.arbutuslock.platform.v1.KeyValueStoreGrpc;
import org.arbutuslock.platform.v1.ListRequest;
import org.arbutuslock.platform.v1.ReadRequest;
import org.arbutuslock.platform.v1.RenewLeaseRequest;
import org.arbutuslock.platform.v1.WatchRequest;

/**
 * Client of the platform's store over gRPC with a limit on calls per second. Thread-safe.
 *
 * <pre>{@code
 * PlatformStore store =
 *         new GrpcPlatformStore(
 *                 StoreClientSettings.withDefaults(address), Clock.system(), new Random(seed));
 * }</pre>
 */
public final class GrpcPlatformStore implements PlatformStore {
    private static final int MAXIMUM_LIST_LIMIT = 1000;
    private static final long SILENCE_CHECK_MILLIS = 250;

    private final StoreClientSettings mSettings;
    private final Clock mClock;
    private final CallRateLimiter mRateLimiter;
    private final Executor mExecutor;
    private final ScheduledExecutorService mTimer;
    private final StoreConnection mConnection;
    private final Set<StoreWatch> mWatches = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client. It connects to the store on the first call.
     *
     * @param settings address and limits
     * @param clock time source for the call limit, the back-off and the watch timeout
     * @param random source of the back-off jitter
     */
    public GrpcPlatformStore(StoreClientSettings settings, Clock clock, RandomGenerator random) {
        mSettings = settings;
        mClock = clock;
        mRateLimiter = new CallRateLimiter(clock, settings.callsPerSecond());
        mExecutor = task -> Thread.ofVirtual().name("store-client").start(task);
        ReconnectBackoff backoff =
                new ReconnectBackoff(
                        clock, random, settings.initialBackoff(), settings.maximumBackoff());
        mConnection = new StoreConnection(settings, backoff, mExecutor);
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("store-client-timer").factory());
        mTimer.scheduleWithFixedDelay(
                this::cancelSilentWatches,
                SILENCE_CHECK_MILLIS,
                SILENCE_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return call(
                "read " + key,
                KeyValueStoreGrpc.getReadMethod(),
                ReadRequest.newBuilder().setKey(key).build(),
                StoreMessages::toReadResult,
                (failure, mayHaveReachedStore) -> new ReadResult.Unavailable(failure));
    }

    @Override
    public CompletableFuture<ListResult> list(String prefix, String startAfter, int limit) {
        if (limit < 1 || limit > MAXIMUM_LIST_LIMIT) {
            throw new IllegalArgumentException(
                    "limit is " + limit + "; allowed are 1 to " + MAXIMUM_LIST_LIMIT);
        }
        return call(
                "list " + prefix,
                KeyValueStoreGrpc.getListMethod(),
                ListRequest.newBuilder()
                        .setPrefix(prefix)
                        .setStartAfter(startAfter)
                        .setLimit(limit)
                        .build(),
                StoreMessages::toListResult,
                (failure, mayHaveReachedStore) -> new ListResult.Unavailable(failure));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(
            String key, long expectedVersion, byte[] value, long lease) {
        String step = "compare-and-swap " + key;
        if (value.length > MAXIMUM_VALUE_BYTES) {
            String reason =
                    "value has " + value.length + " bytes; allowed are " + MAXIMUM_VALUE_BYTES;
            return CompletableFuture.completedFuture(
                    new WriteResult.Unavailable(failure(step, reason)));
        }
        return call(
                step,
                KeyValueStoreGrpc.getCompareAndSwapMethod(),
                CompareAndSwapRequest.newBuilder()
                        .setKey(key)
                        .setExpectedVersion(expectedVersion)
                        .setValue(ByteString.copyFrom(value))
                        .setLease(lease)
                        .build(),
                StoreMessages::toWriteResult,
                StoreMessages::toFailedWrite);
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        return call(
                "delete " + key,
                KeyValueStoreGrpc.getDeleteMethod(),
                DeleteRequest.newBuilder().setKey(key).setExpectedVersion(expectedVersion).build(),
                StoreMessages::toWriteResult,
                StoreMessages::toFailedWrite);
    }

    @Override
    public CompletableFuture<LeaseResult> grantLease(Duration duration) {
        return call(
                "grant lease",
                KeyValueStoreGrpc.getGrantLeaseMethod(),
                GrantLeaseRequest.newBuilder().setDurationMillis(duration.toMillis()).build(),
                StoreMessages::toLeaseResult,
                (failure, mayHaveReachedStore) -> new LeaseResult.Unavailable(failure));
    }

    @Override
    public CompletableFuture<LeaseResult> renewLease(long lease) {
        return call(
                "renew lease " + lease,
                KeyValueStoreGrpc.getRenewLeaseMethod(),
                RenewLeaseRequest.newBuilder().setLease(lease).build(),
                StoreMessages::toLeaseResult,
                (failure, mayHaveReachedStore) -> new LeaseResult.Unavailable(failure));
    }

    @Override
    public AutoCloseable watch(String prefix, long afterStoreRevision, WatchListener listener) {
        ChannelAcquisition acquisition = acquireChannel();
        StoreWatch watch =
                new StoreWatch(mClock, listener, mSettings.watchSilence(), mWatches::remove);
        if (acquisition.channel().isEmpty()) {
            mExecutor.execute(() -> watch.end(acquisition.refusal()));
            return watch;
        }
        ManagedChannel channel = acquisition.channel().get();
        watch.attach(mConnection, channel);
        mWatches.add(watch);
        ClientCalls.asyncServerStreamingCall(
                channel.newCall(KeyValueStoreGrpc.getWatchMethod(), CallOptions.DEFAULT),
                WatchRequest.newBuilder()
                        .setPrefix(prefix)
                        .setAfterStoreRevision(afterStoreRevision)
                        .build(),
                watch);
        return watch;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mConnection.close();
    }

    private <Q, R, T> CompletableFuture<T> call(
            String step,
            MethodDescriptor<Q, R> method,
            Q request,
            Function<R, T> onResponse,
            BiFunction<Failure, Boolean, T> onFailure) {
        CompletableFuture<T> future = new CompletableFuture<>();
        ChannelAcquisition acquisition = acquireChannel();
        if (acquisition.channel().isEmpty()) {
            future.complete(onFailure.apply(failure(step, acquisition.refusal()), false));
            return future;
        }
        ManagedChannel channel = acquisition.channel().get();
        SendTracker tracker = new SendTracker();
        CallOptions options =
                CallOptions.DEFAULT
                        .withDeadlineAfter(mSettings.callDeadline())
                        .withStreamTracerFactory(tracker);
        ClientCalls.asyncUnaryCall(
                channel.newCall(method, options),
                request,
                new StreamObserver<>() {
                    @Override
                    public void onNext(R response) {
                        mConnection.recordSuccess(channel);
                        future.complete(onResponse.apply(response));
                    }

                    @Override
                    public void onError(Throwable error) {
                        boolean mayHaveReachedStore = tracker.mayHaveReachedStore();
                        Status status = Status.fromThrowable(error);
                        recordError(channel, status, mayHaveReachedStore);
                        String reason = status.getCode() + ": " + status.getDescription();
                        future.complete(
                                onFailure.apply(failure(step, reason), mayHaveReachedStore));
                    }

                    @Override
                    public void onCompleted() {}
                });
        return future;
    }

    private ChannelAcquisition acquireChannel() {
        Optional<ManagedChannel> channel = mConnection.acquire();
        if (channel.isEmpty()) {
            return ChannelAcquisition.refused(
                    "no connection; the client is closed or the back-off has not passed");
        }
        if (!mRateLimiter.tryAcquire()) {
            return ChannelAcquisition.refused(
                    "limit of " + mSettings.callsPerSecond() + " calls per second is reached");
        }
        return new ChannelAcquisition(channel, "");
    }

    private record ChannelAcquisition(Optional<ManagedChannel> channel, String refusal) {
        static ChannelAcquisition refused(String reason) {
            return new ChannelAcquisition(Optional.empty(), reason);
        }
    }

    private void recordError(ManagedChannel channel, Status status, boolean mayHaveReachedStore) {
        switch (status.getCode()) {
            case UNAVAILABLE -> mConnection.recordFailure(channel, status.getDescription());
            case DEADLINE_EXCEEDED -> {
                if (mayHaveReachedStore) {
                    mConnection.recordTimeout(channel);
                } else {
                    mConnection.recordFailure(channel, "no connection within the call deadline");
                }
            }
            default -> {}
        }
    }

    private Failure failure(String step, String reason) {
        return new Failure(step, mSettings.address().toString(), reason);
    }

    private void cancelSilentWatches() {
        mWatches.forEach(StoreWatch::cancelIfSilent);
    }
}
