package org.arbutuslock.daemon.internal.operators;

import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.v1.ChangeAbsent;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.HistoryResponse;

/**
 * Refuses changes, since another program writes the configuration into the platform's store and
 * this fleet only reads it. The store holds only the newest revision.
 *
 * @param key key of the configuration in the platform's store
 * @param holder configuration in force
 * @param node name of this node, used in failures
 */
record ReadOnlyConfigurationChanges(String key, ConfigurationHolder holder, String node)
        implements ConfigurationChanges {
    @Override
    public CompletableFuture<ChangeOutcome> apply(OperatorsBackend.ChangeRequest request) {
        return refuse("operations", Integer.toString(request.operations().size()));
    }

    @Override
    public CompletableFuture<ChangeOutcome> rollBack(OperatorsBackend.RollbackRequest request) {
        return refuse("revision", Long.toString(request.revision()));
    }

    private CompletableFuture<ChangeOutcome> refuse(String field, String value) {
        return CompletableFuture.completedFuture(
                ChangeOutcomes.invalid(
                        field, value, "no change through the operators' service", explain()));
    }

    private String explain() {
        return "the fleet reads its configuration from the key "
                + key
                + " of the platform's store; change it there";
    }

    @Override
    public CompletableFuture<GetChangeResponse> find(String changeId) {
        return CompletableFuture.completedFuture(
                GetChangeResponse.newBuilder()
                        .setAbsent(
                                ChangeAbsent.newBuilder()
                                        .setSearchedRevision(holder.current().revision())
                                        .setDefinite(true))
                        .build());
    }

    @Override
    public CompletableFuture<Result<HistoryResponse>> list(long beforeRevision, int limit) {
        return CompletableFuture.completedFuture(
                Result.failed("list changes", node, explain() + "; the store keeps no history"));
    }

    @Override
    public CompletableFuture<Result<Long>> catchUp() {
        long revision = holder.current().revision();
        return CompletableFuture.completedFuture(
                revision > 0
                        ? Result.success(revision)
                        : new Result.Failed<>(
                                new Failure(
                                        "read configuration",
                                        key,
                                        "no valid configuration was read yet; see events"
                                                + " 7002 and 7012 in the log")));
    }
}
