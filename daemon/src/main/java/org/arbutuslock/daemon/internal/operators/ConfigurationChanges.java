package org.arbutuslock.daemon.internal.operators;

import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Result;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.HistoryResponse;

/**
 * Changes the configuration and reads its change log for operators. {@link ChangeCommands} submits
 * changes; {@link ReadOnlyConfigurationChanges} refuses them, since another program writes the
 * configuration.
 */
sealed interface ConfigurationChanges permits ChangeCommands, ReadOnlyConfigurationChanges {
    /** Adds a change; see {@link OperatorsBackend#applyChange}. */
    CompletableFuture<ChangeOutcome> apply(OperatorsBackend.ChangeRequest request);

    /** Restores an earlier revision; see {@link OperatorsBackend#rollBack}. */
    CompletableFuture<ChangeOutcome> rollBack(OperatorsBackend.RollbackRequest request);

    /** Finds a change; see {@link OperatorsBackend#findChange}. */
    CompletableFuture<GetChangeResponse> find(String changeId);

    /** Lists accepted changes; see {@link OperatorsBackend#listChanges}. */
    CompletableFuture<Result<HistoryResponse>> list(long beforeRevision, int limit);

    /** Completes with the revision in force, or the reason why no configuration could be read. */
    CompletableFuture<Result<Long>> catchUp();
}
