package org.arbutuslock.daemon.internal.operators;

import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.v1.ApplyChangeRequest;
import org.arbutuslock.v1.ApplyChangeResponse;
import org.arbutuslock.v1.DrainRequest;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.ExplainRequest;
import org.arbutuslock.v1.ExplainResponse;
import org.arbutuslock.v1.GetChangeRequest;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.GetConfigurationRequest;
import org.arbutuslock.v1.GetConfigurationResponse;
import org.arbutuslock.v1.GetStatusRequest;
import org.arbutuslock.v1.GetStatusResponse;
import org.arbutuslock.v1.HistoryRequest;
import org.arbutuslock.v1.HistoryResponse;
import org.arbutuslock.v1.OperatorsGrpc;
import org.arbutuslock.v1.RollbackRequest;
import org.arbutuslock.v1.RollbackResponse;
import org.arbutuslock.v1.TopRequest;
import org.arbutuslock.v1.TopResponse;
import org.arbutuslock.v1.UndrainRequest;
import org.arbutuslock.v1.UndrainResponse;
import org.arbutuslock.v1.WatchRevisionRequest;
import org.arbutuslock.v1.WatchRevisionResponse;

/** The gRPC methods for operators: each checks its request, calls the backend and responds. */
final class OperatorsService extends OperatorsGrpc.OperatorsImplBase {
    private static final Duration MAXIMUM_CHANGE_TIMEOUT = Duration.ofSeconds(30);

    /** Subtracted from the client's deadline, to leave time for sending the outcome. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(100);

    private static final int MAXIMUM_ENTITIES = 1_000;
    private static final int DEFAULT_ENTITIES = 200;
    private static final int MAXIMUM_CHANGES = 200;
    private static final int DEFAULT_CHANGES = 20;
    private static final int MAXIMUM_NODES = 500;
    private static final int DEFAULT_NODES = 100;
    private static final int MAXIMUM_ROWS = 500;
    private static final int DEFAULT_ROWS = 20;

    private final OperatorsBackend mBackend;
    private final ScheduledExecutorService mScheduler;
    private final EventLogger mLogger;

    OperatorsService(
            OperatorsBackend backend, ScheduledExecutorService scheduler, EventLogger logger) {
        mBackend = backend;
        mScheduler = scheduler;
        mLogger = logger;
    }

    @Override
    public void applyChange(
            ApplyChangeRequest request, StreamObserver<ApplyChangeResponse> observer) {
        String author = authorOf(request.getAuthor());
        RequestChecker checker =
                new RequestChecker()
                        .checkId("change_id", request.getChangeId())
                        .checkText("author", author)
                        .checkRevision("base_revision", request.getBaseRevision())
                        .checkOperations(request.getOperationsList());
        if (refused(checker, observer)) {
            return;
        }
        logCall(author, "ApplyChange with change id " + request.getChangeId());
        OperatorsBackend.ChangeRequest change =
                new OperatorsBackend.ChangeRequest(
                        request.getChangeId(),
                        author,
                        request.getBaseRevision(),
                        request.getOperationsList(),
                        remainingTime());
        complete(
                "ApplyChange",
                () -> mBackend.applyChange(change),
                outcome -> ApplyChangeResponse.newBuilder().setOutcome(outcome).build(),
                observer);
    }

    @Override
    public void rollback(RollbackRequest request, StreamObserver<RollbackResponse> observer) {
        String author = authorOf(request.getAuthor());
        RequestChecker checker =
                new RequestChecker()
                        .checkId("change_id", request.getChangeId())
                        .checkText("author", author)
                        .checkRevision("base_revision", request.getBaseRevision())
                        .checkRevision("revision", request.getRevision());
        if (refused(checker, observer)) {
            return;
        }
        logCall(author, "Rollback with change id " + request.getChangeId());
        OperatorsBackend.RollbackRequest change =
                new OperatorsBackend.RollbackRequest(
                        request.getChangeId(),
                        author,
                        request.getBaseRevision(),
                        request.getRevision(),
                        remainingTime());
        complete(
                "Rollback",
                () -> mBackend.rollBack(change),
                outcome -> RollbackResponse.newBuilder().setOutcome(outcome).build(),
                observer);
    }

    @Override
    public void getChange(GetChangeRequest request, StreamObserver<GetChangeResponse> observer) {
        if (!refused(new RequestChecker().checkId("change_id", request.getChangeId()), observer)) {
            complete(
                    "GetChange",
                    () -> mBackend.findChange(request.getChangeId()),
                    Function.identity(),
                    observer);
        }
    }

    @Override
    public void getConfiguration(
            GetConfigurationRequest request, StreamObserver<GetConfigurationResponse> observer) {
        RequestChecker checker =
                new RequestChecker()
                        .checkKind("kind", request.getKind())
                        .checkOptionalText("name", request.getName())
                        .checkLimit("page_size", request.getPageSize(), MAXIMUM_ENTITIES)
                        .checkOptionalText("page_token", request.getPageToken());
        if (refused(checker, observer)) {
            return;
        }
        int limit = limitOrDefault(request.getPageSize(), DEFAULT_ENTITIES);
        completeResult(
                "GetConfiguration",
                () ->
                        CompletableFuture.completedFuture(
                                request.getName().isEmpty()
                                        ? mBackend.listEntities(
                                                request.getKind(), request.getPageToken(), limit)
                                        : mBackend.findEntity(
                                                request.getKind(), request.getName())),
                OperatorsService::formatPage,
                observer);
    }

    @Override
    public void history(HistoryRequest request, StreamObserver<HistoryResponse> observer) {
        RequestChecker checker =
                new RequestChecker()
                        .checkRevision("before_revision", request.getBeforeRevision())
                        .checkLimit("limit", request.getLimit(), MAXIMUM_CHANGES);
        if (!refused(checker, observer)) {
            completeResult(
                    "History",
                    () ->
                            mBackend.listChanges(
                                    request.getBeforeRevision(),
                                    limitOrDefault(request.getLimit(), DEFAULT_CHANGES)),
                    Function.identity(),
                    observer);
        }
    }

    @Override
    public void watchRevision(
            WatchRevisionRequest request, StreamObserver<WatchRevisionResponse> observer) {
        RequestChecker checker =
                new RequestChecker().checkRevision("revision", request.getRevision());
        if (!refused(checker, observer)) {
            new RevisionStream(
                            mBackend,
                            request.getRevision(),
                            (ServerCallStreamObserver<WatchRevisionResponse>) observer)
                    .start(mScheduler);
        }
    }

    @Override
    public void getStatus(GetStatusRequest request, StreamObserver<GetStatusResponse> observer) {
        RequestChecker checker =
                new RequestChecker()
                        .checkOptionalText("service", request.getService())
                        .checkOptionalText("availability_zone", request.getAvailabilityZone())
                        .checkLimit("page_size", request.getPageSize(), MAXIMUM_NODES)
                        .checkOptionalText("page_token", request.getPageToken());
        if (!refused(checker, observer)) {
            completeResult(
                    "GetStatus",
                    () ->
                            CompletableFuture.completedFuture(
                                    mBackend.readStatus(
                                            request.getService(),
                                            request.getAvailabilityZone(),
                                            request.getPageToken(),
                                            limitOrDefault(request.getPageSize(), DEFAULT_NODES))),
                    Function.identity(),
                    observer);
        }
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> observer) {
        if (!refused(checkBackendServer(request.getBackendServer()), observer)) {
            completeResult(
                    "Explain",
                    () -> mBackend.explain(request.getBackendServer()),
                    Function.identity(),
                    observer);
        }
    }

    @Override
    public void drain(DrainRequest request, StreamObserver<DrainResponse> observer) {
        if (!refused(checkBackendServer(request.getBackendServer()), observer)) {
            logCall(authorOf(""), "Drain of " + request.getBackendServer());
            complete(
                    "Drain",
                    () -> mBackend.drain(request.getBackendServer()),
                    Function.identity(),
                    observer);
        }
    }

    @Override
    public void undrain(UndrainRequest request, StreamObserver<UndrainResponse> observer) {
        if (!refused(checkBackendServer(request.getBackendServer()), observer)) {
            logCall(authorOf(""), "Undrain of " + request.getBackendServer());
            complete(
                    "Undrain",
                    () -> mBackend.undrain(request.getBackendServer()),
                    response ->
                            UndrainResponse.newBuilder()
                                    .setOutcome(response.getOutcome())
                                    .setReason(response.getReason())
                                    .addAllEndpoints(response.getEndpointsList())
                                    .build(),
                    observer);
        }
    }

    @Override
    public void top(TopRequest request, StreamObserver<TopResponse> observer) {
        RequestChecker checker =
                new RequestChecker()
                        .checkOptionalText("service", request.getService())
                        .checkLimit("limit", request.getLimit(), MAXIMUM_ROWS);
        if (!refused(checker, observer)) {
            completeResult(
                    "Top",
                    () ->
                            CompletableFuture.completedFuture(
                                    mBackend.readTop(
                                            request.getService(),
                                            limitOrDefault(request.getLimit(), DEFAULT_ROWS))),
                    Function.identity(),
                    observer);
        }
    }

    /** Returns the authenticated name, or the claimed one on a connection without TLS. */
    private static String authorOf(String claimed) {
        String authenticated = OperatorIdentity.COMMON_NAME.get();
        return authenticated == null ? claimed : authenticated;
    }

    private void logCall(String author, String call) {
        mLogger.log(Event.OPERATOR_CALL, author.isEmpty() ? "(not authenticated)" : author, call);
    }

    private static RequestChecker checkBackendServer(String backendServer) {
        return new RequestChecker().checkText("backend_server", backendServer);
    }

    private static int limitOrDefault(int requested, int defaultLimit) {
        return requested == 0 ? defaultLimit : requested;
    }

    private static Duration remainingTime() {
        Deadline deadline = Context.current().getDeadline();
        if (deadline == null) {
            return MAXIMUM_CHANGE_TIMEOUT;
        }
        Duration remaining =
                Duration.ofNanos(deadline.timeRemaining(TimeUnit.NANOSECONDS))
                        .minus(RESPONSE_MARGIN);
        if (remaining.isNegative()) {
            return Duration.ZERO;
        }
        return remaining.compareTo(MAXIMUM_CHANGE_TIMEOUT) > 0 ? MAXIMUM_CHANGE_TIMEOUT : remaining;
    }

    private static GetConfigurationResponse formatPage(OperatorsBackend.ConfigurationPage page) {
        return GetConfigurationResponse.newBuilder()
                .setRevision(page.revision())
                .addAllEntities(page.entities())
                .setNextPageToken(
                        page.more() ? EntityConverter.nameOf(page.entities().getLast()) : "")
                .build();
    }

    private static boolean refused(RequestChecker checker, StreamObserver<?> observer) {
        Optional<Status> refusal = checker.refusal();
        refusal.ifPresent(status -> observer.onError(status.asRuntimeException()));
        return refusal.isPresent();
    }

    private <T, R> void completeResult(
            String method,
            Supplier<CompletableFuture<Result<T>>> call,
            Function<T, R> format,
            StreamObserver<R> observer) {
        start(method, call)
                .whenComplete(
                        (result, fault) -> {
                            switch (result) {
                                case null -> fail(method, fault, observer);
                                case Result.Success<T>(T value) ->
                                        send(method, value, format, observer);
                                case Result.Failed<T>(var failure) ->
                                        observer.onError(
                                                Status.UNAVAILABLE
                                                        .withDescription(failure.toString())
                                                        .asRuntimeException());
                            }
                        });
    }

    private <T, R> void complete(
            String method,
            Supplier<CompletableFuture<T>> call,
            Function<T, R> format,
            StreamObserver<R> observer) {
        start(method, call)
                .whenComplete(
                        (value, fault) -> {
                            if (fault == null) {
                                send(method, value, format, observer);
                            } else {
                                fail(method, fault, observer);
                            }
                        });
    }

    private static <T> CompletableFuture<T> start(
            String method, Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException fault) {
            return CompletableFuture.failedFuture(fault);
        }
    }

    private <T, R> void send(
            String method, T value, Function<T, R> format, StreamObserver<R> observer) {
        if (((ServerCallStreamObserver<R>) observer).isCancelled()) {
            return;
        }
        try {
            observer.onNext(format.apply(value));
            observer.onCompleted();
        } catch (RuntimeException fault) {
            fail(method, fault, observer);
        }
    }

    private void fail(String method, Throwable fault, StreamObserver<?> observer) {
        mLogger.log(Event.OPERATOR_CALL_FAILED, method, String.valueOf(fault));
        observer.onError(
                Status.INTERNAL
                        .withDescription(
                                method
                                        + " failed with an internal error; see event 8006 in the"
                                        + " log of the node")
                        .asRuntimeException());
    }
}
