package org.arbutuslock.cli.internal;

import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.arbutuslock.v1.ApplyChangeRequest;
import org.arbutuslock.v1.ApplyChangeResponse;
import org.arbutuslock.v1.Change;
import org.arbutuslock.v1.ChangeAbsent;
import org.arbutuslock.v1.ChangeAccepted;
import org.arbutuslock.v1.ChangeConflict;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.DrainOutcome;
import org.arbutuslock.v1.DrainRequest;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.ExplainRequest;
import org.arbutuslock.v1.ExplainResponse;
import org.arbutuslock.v1.GetChangeRequest;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.GetConfigurationRequest;
import org.arbutuslock.v1.GetConfigurationResponse;
import org.arbutuslock.v1.Operation;
import org.arbutuslock.v1.OperatorsGrpc;
import org.arbutuslock.v1.WatchRevisionRequest;
import org.arbutuslock.v1.WatchRevisionResponse;

/**
 * Operators service that keeps accepted changes in memory. Scripted steps make single ApplyChange
 * calls fail.
 */
final class FakeOperators extends OperatorsGrpc.OperatorsImplBase implements AutoCloseable {
    /** Scripted behavior of one ApplyChange call. */
    sealed interface Step {
        /** The node processes the request, and the response is lost. */
        record LoseResponse() implements Step {}

        /** The request is lost before the node processes it. */
        record LoseRequest() implements Step {}

        /** The node responds with this outcome without processing the request. */
        record Respond(ChangeOutcome outcome) implements Step {}
    }

    final Queue<Step> mScriptedSteps = new ArrayDeque<>();
    final List<Change> mAcceptedChanges = new ArrayList<>();
    final List<String> mReceivedIds = new ArrayList<>();
    Runnable mBeforeLostRequest = () -> {};
    DrainOutcome mDrainOutcome = DrainOutcome.DRAIN_OUTCOME_ACCEPTED;

    private final Server mServer;

    FakeOperators() throws IOException {
        mServer =
                NettyServerBuilder.forAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .directExecutor()
                        .addService(this)
                        .build()
                        .start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getPort();
    }

    Map<EntityName, Entity> entities() {
        Map<EntityName, Entity> entities = new LinkedHashMap<>();
        for (Change change : mAcceptedChanges) {
            for (Operation operation : change.getOperationsList()) {
                if (operation.hasPut()) {
                    entities.put(Entities.nameOf(operation), operation.getPut());
                } else {
                    entities.remove(operation.getDelete());
                }
            }
        }
        return entities;
    }

    @Override
    public void applyChange(
            ApplyChangeRequest request, StreamObserver<ApplyChangeResponse> observer) {
        mReceivedIds.add(request.getChangeId());
        switch (mScriptedSteps.poll()) {
            case null -> respond(process(request), observer);
            case Step.LoseResponse() -> {
                process(request);
                observer.onError(Status.UNAVAILABLE.asException());
            }
            case Step.LoseRequest() -> {
                mBeforeLostRequest.run();
                observer.onError(Status.UNAVAILABLE.asException());
            }
            case Step.Respond(ChangeOutcome outcome) -> respond(outcome, observer);
        }
    }

    @Override
    public void getChange(GetChangeRequest request, StreamObserver<GetChangeResponse> observer) {
        GetChangeResponse.Builder response =
                GetChangeResponse.newBuilder().setAbsent(ChangeAbsent.getDefaultInstance());
        mAcceptedChanges.stream()
                .filter(change -> change.getChangeId().equals(request.getChangeId()))
                .forEach(response::setAccepted);
        send(response.build(), observer);
    }

    @Override
    public void getConfiguration(
            GetConfigurationRequest request, StreamObserver<GetConfigurationResponse> observer) {
        GetConfigurationResponse.Builder response =
                GetConfigurationResponse.newBuilder().setRevision(mAcceptedChanges.size());
        entities()
                .forEach(
                        (name, entity) -> {
                            boolean named =
                                    request.getName().isEmpty()
                                            || request.getName().equals(name.getName());
                            if (name.getKind() == request.getKind() && named) {
                                response.addEntities(entity);
                            }
                        });
        send(response.build(), observer);
    }

    @Override
    public void watchRevision(
            WatchRevisionRequest request, StreamObserver<WatchRevisionResponse> observer) {
        for (int confirmed = 1; confirmed <= 2; confirmed++) {
            observer.onNext(
                    WatchRevisionResponse.newBuilder()
                            .setRevision(request.getRevision())
                            .setNodesConfirmed(confirmed)
                            .setNodesTotal(2)
                            .setInForce(confirmed == 2)
                            .build());
        }
        observer.onCompleted();
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> observer) {
        send(ExplainResponse.newBuilder().setFound(true).build(), observer);
    }

    @Override
    public void drain(DrainRequest request, StreamObserver<DrainResponse> observer) {
        send(DrainResponse.newBuilder().setOutcome(mDrainOutcome).build(), observer);
    }

    @Override
    public void close() {
        mServer.shutdownNow();
    }

    private ChangeOutcome process(ApplyChangeRequest request) {
        for (Change change : mAcceptedChanges) {
            if (change.getChangeId().equals(request.getChangeId())) {
                return accepted(change.getRevision());
            }
        }
        if (request.getBaseRevision() != mAcceptedChanges.size()) {
            Change winner = mAcceptedChanges.get((int) request.getBaseRevision());
            return ChangeOutcome.newBuilder()
                    .setConflict(
                            ChangeConflict.newBuilder()
                                    .setBaseRevision(request.getBaseRevision())
                                    .setCurrentRevision(mAcceptedChanges.size())
                                    .setWinningAuthor(winner.getAuthor())
                                    .setWinningChangeId(winner.getChangeId()))
                    .build();
        }
        append(request.getChangeId(), request.getAuthor(), request.getOperationsList());
        return accepted(mAcceptedChanges.size());
    }

    void append(String changeId, String author, List<Operation> operations) {
        mAcceptedChanges.add(
                Change.newBuilder()
                        .setRevision(mAcceptedChanges.size() + 1)
                        .setChangeId(changeId)
                        .setAuthor(author)
                        .addAllOperations(operations)
                        .build());
    }

    private static ChangeOutcome accepted(long revision) {
        return ChangeOutcome.newBuilder()
                .setAccepted(ChangeAccepted.newBuilder().setRevision(revision))
                .build();
    }

    private static void respond(
            ChangeOutcome outcome, StreamObserver<ApplyChangeResponse> observer) {
        send(ApplyChangeResponse.newBuilder().setOutcome(outcome).build(), observer);
    }

    private static <T> void send(T response, StreamObserver<T> observer) {
        observer.onNext(response);
        observer.onCompleted();
    }
}
