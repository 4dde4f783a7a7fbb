package org.arbutuslock.daemon.internal.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Result;
import org.arbutuslock.v1.ChangeAccepted;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.DrainOutcome;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.ExplainResponse;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.GetStatusResponse;
import org.arbutuslock.v1.HistoryResponse;
import org.arbutuslock.v1.TopResponse;
import org.arbutuslock.v1.WatchRevisionResponse;

/**
 * Accepts and records every change. Each call of {@link #measureProgress} counts one more node as
 * confirmed. {@link #findChange} throws, and {@link #listChanges} fails.
 */
final class FakeBackend implements OperatorsBackend {
    static final int NODES = 3;

    final List<ChangeRequest> mChanges = new ArrayList<>();
    final List<String> mCalls = new ArrayList<>();
    private int mConfirmedNodes;

    @Override
    public CompletableFuture<ChangeOutcome> applyChange(ChangeRequest request) {
        mChanges.add(request);
        return accepted();
    }

    @Override
    public CompletableFuture<ChangeOutcome> rollBack(RollbackRequest request) {
        mCalls.add("rollBack");
        return accepted();
    }

    @Override
    public CompletableFuture<GetChangeResponse> findChange(String changeId) {
        throw new IllegalStateException("simulated fault of the backend");
    }

    @Override
    public CompletableFuture<Result<HistoryResponse>> listChanges(long beforeRevision, int limit) {
        return CompletableFuture.completedFuture(
                Result.failed("list changes", "store 127.0.0.1:1", "the store is unavailable"));
    }

    @Override
    public Result<ConfigurationPage> listEntities(EntityKind kind, String afterName, int limit) {
        mCalls.add("listEntities " + kind + " " + afterName + " " + limit);
        var first = EntityConverter.toEntity(new org.arbutuslock.api.TenantDefinition("blue", 2));
        return Result.success(new ConfigurationPage(7, List.of(first), afterName.isEmpty()));
    }

    @Override
    public Result<ConfigurationPage> findEntity(EntityKind kind, String name) {
        return Result.success(new ConfigurationPage(7, List.of(), false));
    }

    @Override
    public Result<WatchRevisionResponse> measureProgress(long revision) {
        mConfirmedNodes = Math.min(NODES, mConfirmedNodes + 1);
        return Result.success(
                WatchRevisionResponse.newBuilder()
                        .setRevision(revision)
                        .setNodesConfirmed(mConfirmedNodes)
                        .setNodesTotal(NODES)
                        .setInForce(mConfirmedNodes == NODES)
                        .build());
    }

    @Override
    public Result<GetStatusResponse> readStatus(
            String service, String availabilityZone, String afterNode, int limit) {
        return Result.success(
                GetStatusResponse.newBuilder().setRespondingNode("calgary-a-1").build());
    }

    @Override
    public CompletableFuture<Result<ExplainResponse>> explain(String backendServer) {
        return CompletableFuture.completedFuture(
                Result.success(ExplainResponse.getDefaultInstance()));
    }

    @Override
    public CompletableFuture<DrainResponse> drain(String backendServer) {
        mCalls.add("drain");
        return CompletableFuture.completedFuture(
                DrainResponse.newBuilder().setOutcome(DrainOutcome.DRAIN_OUTCOME_ACCEPTED).build());
    }

    @Override
    public CompletableFuture<DrainResponse> undrain(String backendServer) {
        return drain(backendServer);
    }

    @Override
    public Result<TopResponse> readTop(String service, int limit) {
        return Result.success(TopResponse.getDefaultInstance());
    }

    private static CompletableFuture<ChangeOutcome> accepted() {
        return CompletableFuture.completedFuture(
                ChangeOutcome.newBuilder()
                        .setAccepted(ChangeAccepted.newBuilder().setRevision(1))
                        .build());
    }
}
