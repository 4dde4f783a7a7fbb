package org.arbutuslock.daemon.internal.operators;

import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Result;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.DrainResponse;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.ExplainResponse;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.GetStatusResponse;
import org.arbutuslock.v1.HistoryResponse;
import org.arbutuslock.v1.TopResponse;
import org.arbutuslock.v1.WatchRevisionResponse;

/** Delegates each call to the component of this node that carries it out. */
final class NodeOperatorsBackend implements OperatorsBackend {
    private final ConfigurationChanges mChanges;
    private final ConfigurationQueries mConfiguration;
    private final FleetQueries mFleet;
    private final EndpointCommands mEndpoints;
    private final TopQueries mTop;

    NodeOperatorsBackend(
            ConfigurationChanges changes,
            ConfigurationQueries configuration,
            FleetQueries fleet,
            EndpointCommands endpoints,
            TopQueries top) {
        mChanges = changes;
        mConfiguration = configuration;
        mFleet = fleet;
        mEndpoints = endpoints;
        mTop = top;
    }

    @Override
    public CompletableFuture<ChangeOutcome> applyChange(ChangeRequest request) {
        return mChanges.apply(request);
    }

    @Override
    public CompletableFuture<ChangeOutcome> rollBack(RollbackRequest request) {
        return mChanges.rollBack(request);
    }

    @Override
    public CompletableFuture<GetChangeResponse> findChange(String changeId) {
        return mChanges.find(changeId);
    }

    @Override
    public CompletableFuture<Result<HistoryResponse>> listChanges(long beforeRevision, int limit) {
        return mChanges.list(beforeRevision, limit);
    }

    @Override
    public Result<ConfigurationPage> listEntities(EntityKind kind, String afterName, int limit) {
        return mConfiguration.list(kind, afterName, limit);
    }

    @Override
    public Result<ConfigurationPage> findEntity(EntityKind kind, String name) {
        return mConfiguration.find(kind, name);
    }

    @Override
    public Result<WatchRevisionResponse> measureProgress(long revision) {
        return mFleet.measureProgress(revision);
    }

    @Override
    public Result<GetStatusResponse> readStatus(
            String service, String availabilityZone, String afterNode, int limit) {
        return mFleet.readStatus(service, availabilityZone, afterNode, limit);
    }

    @Override
    public CompletableFuture<Result<ExplainResponse>> explain(String backendServer) {
        return mEndpoints.explain(backendServer);
    }

    @Override
    public CompletableFuture<DrainResponse> drain(String backendServer) {
        return mEndpoints.drain(backendServer);
    }

    @Override
    public CompletableFuture<DrainResponse> undrain(String backendServer) {
        return mEndpoints.undrain(backendServer);
    }

    @Override
    public Result<TopResponse> readTop(String service, int limit) {
        return mTop.read(service, limit);
    }
}
