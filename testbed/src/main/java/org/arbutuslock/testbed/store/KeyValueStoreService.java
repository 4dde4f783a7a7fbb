package org.arbutuslock.testbed.store;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.platform.v1.CompareAndSwapRequest;
import org.arbutuslock.platform.v1.DeleteRequest;
import org.arbutuslock.platform.v1.GrantLeaseRequest;
import org.arbutuslock.platform.v1.KeyValueStoreGrpc;
import org.arbutuslock.platform.v1.LeaseResponse;
import org.arbutuslock.platform.v1.ListRequest;
import org.arbutuslock.platform.v1.ListResponse;
import org.arbutuslock.platform.v1.ReadRequest;
import org.arbutuslock.platform.v1.ReadResponse;
import org.arbutuslock.platform.v1.RenewLeaseRequest;
import org.arbutuslock.platform.v1.StoreFaults;
import org.arbutuslock.platform.v1.WatchRequest;
import org.arbutuslock.platform.v1.WatchResponse;
import org.arbutuslock.platform.v1.WriteResponse;

/** gRPC service of an {@link InMemoryStore} that applies the active faults to each call. */
final class KeyValueStoreService extends KeyValueStoreGrpc.KeyValueStoreImplBase {
    private static final int MAXIMUM_KEY_LENGTH = 1024;
    private static final int MAXIMUM_LIST_LIMIT = 1000;
    private static final long MAXIMUM_LEASE_MILLIS = 3_600_000;

    private final InMemoryStore mStore;
    private final ScheduledExecutorService mExecutor;
    private final RandomGenerator mRandom;
    private final CallCounter mCounter = new CallCounter();
    private final Set<WatchSession> mWatches = ConcurrentHashMap.newKeySet();
    private volatile StoreFaults mFaults = StoreFaults.getDefaultInstance();

    KeyValueStoreService(
            InMemoryStore store, ScheduledExecutorService executor, RandomGenerator random) {
        mStore = store;
        mExecutor = executor;
        mRandom = random;
    }

    void setFaults(StoreFaults faults) {
        mFaults = faults;
    }

    CallCounter counter() {
        return mCounter;
    }

    void sendProgress() {
        mWatches.forEach(WatchSession::sendProgress);
    }

    @Override
    public void read(ReadRequest request, StreamObserver<ReadResponse> observer) {
        mCounter.countRead();
        if (!checkKey(request.getKey(), observer)) {
            return;
        }
        afterDelay(
                () ->
                        respond(
                                observer,
                                () -> {
                                    ReadResponse.Builder response = ReadResponse.newBuilder();
                                    mStore.read(request.getKey())
                                            .map(WatchSession::toMessage)
                                            .ifPresent(response::setEntry);
                                    response.setStoreRevision(mStore.storeRevision());
                                    return response.build();
                                }));
    }

    @Override
    public void list(ListRequest request, StreamObserver<ListResponse> observer) {
        mCounter.countList();
        int limit = request.getLimit();
        if (limit < 1 || limit > MAXIMUM_LIST_LIMIT) {
            reject(observer, "limit is " + limit + "; allowed are 1 to " + MAXIMUM_LIST_LIMIT);
            return;
        }
        afterDelay(() -> respond(observer, () -> toListResponse(request)));
    }

    private ListResponse toListResponse(ListRequest request) {
        InMemoryStore.Page page =
                mStore.list(request.getPrefix(), request.getStartAfter(), request.getLimit());
        ListResponse.Builder response = ListResponse.newBuilder();
        page.entries().forEach(entry -> response.addEntries(WatchSession.toMessage(entry)));
        return response.setMore(page.more()).setStoreRevision(page.storeRevision()).build();
    }

    @Override
    public void compareAndSwap(
            CompareAndSwapRequest request, StreamObserver<WriteResponse> observer) {
        mCounter.countWrite();
        if (!checkKey(request.getKey(), observer)) {
            return;
        }
        if (request.getValue().size() > PlatformStore.MAXIMUM_VALUE_BYTES) {
            reject(
                    observer,
                    "value has "
                            + request.getValue().size()
                            + " bytes; allowed are up to "
                            + PlatformStore.MAXIMUM_VALUE_BYTES);
            return;
        }
        write(
                observer,
                () ->
                        mStore.compareAndSwap(
                                request.getKey(),
                                request.getExpectedVersion(),
                                request.getValue().toByteArray(),
                                request.getLease()));
    }

    @Override
    public void delete(DeleteRequest request, StreamObserver<WriteResponse> observer) {
        mCounter.countWrite();
        if (checkKey(request.getKey(), observer)) {
            write(observer, () -> mStore.delete(request.getKey(), request.getExpectedVersion()));
        }
    }

    @Override
    public void grantLease(GrantLeaseRequest request, StreamObserver<LeaseResponse> observer) {
        mCounter.countLeaseCall();
        long millis = request.getDurationMillis();
        if (millis < 1 || millis > MAXIMUM_LEASE_MILLIS) {
            reject(
                    observer,
                    "duration_millis is " + millis + "; allowed are 1 to " + MAXIMUM_LEASE_MILLIS);
            return;
        }
        afterDelay(
                () ->
                        respond(
                                observer,
                                () ->
                                        toLeaseResponse(
                                                mStore.grantLease(Duration.ofMillis(millis)),
                                                Duration.ofMillis(millis))));
    }

    @Override
    public void renewLease(RenewLeaseRequest request, StreamObserver<LeaseResponse> observer) {
        mCounter.countLeaseCall();
        afterDelay(
                () ->
                        respond(
                                observer,
                                () ->
                                        mStore.renewLease(request.getLease())
                                                .map(
                                                        time ->
                                                                toLeaseResponse(
                                                                        request.getLease(), time))
                                                .orElse(LeaseResponse.getDefaultInstance())));
    }

    @Override
    public void watch(WatchRequest request, StreamObserver<WatchResponse> observer) {
        ServerCallStreamObserver<WatchResponse> stream =
                (ServerCallStreamObserver<WatchResponse>) observer;
        WatchSession session =
                new WatchSession(
                        mStore,
                        request.getPrefix(),
                        request.getAfterStoreRevision(),
                        stream,
                        mExecutor);
        stream.setOnReadyHandler(session::requestSend);
        stream.setOnCloseHandler(() -> removeWatch(session));
        stream.setOnCancelHandler(
                () -> {
                    session.end(Status.CANCELLED);
                    removeWatch(session);
                });
        mWatches.add(session);
        mCounter.countWatch();
        afterDelay(session::start);
    }

    private void removeWatch(WatchSession session) {
        if (mWatches.remove(session)) {
            mCounter.countWatchEnd();
        }
    }

    private void write(
            StreamObserver<WriteResponse> observer, Supplier<InMemoryStore.Write> operation) {
        StoreFaults faults = mFaults;
        double draw = mRandom.nextDouble();
        if (draw < faults.getLostResponseShare()) {
            afterDelay(() -> applyWithoutResponse(operation));
        } else if (draw < faults.getLostResponseShare() + faults.getLateWriteShare()) {
            mExecutor.schedule(
                    () -> applyWithoutResponse(operation),
                    faults.getLateWriteMillis(),
                    TimeUnit.MILLISECONDS);
        } else {
            afterDelay(() -> respond(observer, () -> toWriteResponse(operation.get())));
        }
    }

    private static void applyWithoutResponse(Supplier<InMemoryStore.Write> operation) {
        try {
            operation.get();
        } catch (IllegalStateException e) {
            System.getLogger(KeyValueStoreService.class.getName())
                    .log(
                            System.Logger.Level.DEBUG,
                            "write whose response is withheld by a fault was rejected",
                            e);
        }
    }

    private static WriteResponse toWriteResponse(InMemoryStore.Write write) {
        return WriteResponse.newBuilder()
                .setApplied(write.applied())
                .setVersion(write.version())
                .setStoreRevision(write.storeRevision())
                .build();
    }

    private static LeaseResponse toLeaseResponse(long lease, Duration duration) {
        return LeaseResponse.newBuilder()
                .setGranted(true)
                .setLease(lease)
                .setDurationMillis(duration.toMillis())
                .build();
    }

    private void afterDelay(Runnable step) {
        int delayMillis = mFaults.getDelayMillis();
        if (delayMillis == 0) {
            step.run();
        } else {
            mExecutor.schedule(step, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private static <T> void respond(StreamObserver<T> observer, Supplier<T> operation) {
        Optional<T> response;
        try {
            response = Optional.of(operation.get());
        } catch (IllegalStateException e) {
            observer.onError(
                    Status.FAILED_PRECONDITION
                            .withDescription(e.getMessage())
                            .asRuntimeException());
            return;
        }
        if (((ServerCallStreamObserver<T>) observer).isCancelled()) {
            return;
        }
        observer.onNext(response.get());
        observer.onCompleted();
    }

    private static boolean checkKey(String key, StreamObserver<?> observer) {
        if (!key.isEmpty() && key.length() <= MAXIMUM_KEY_LENGTH) {
            return true;
        }
        reject(
                observer,
                "key has " + key.length() + " characters; allowed are 1 to " + MAXIMUM_KEY_LENGTH);
        return false;
    }

    private static void reject(StreamObserver<?> observer, String reason) {
        observer.onError(Status.INVALID_ARGUMENT.withDescription(reason).asRuntimeException());
    }
}
