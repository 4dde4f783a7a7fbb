package org.arbutuslock.daemon.internal.operators;

import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Result;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.HistoryResponse;

/** What operators may do to the configuration, which depends on who writes it. */
sealed interface ConfigurationChanges permits ChangeCommands, ReadOnlyConfigurationChanges {
    /** Adds a change; see {@link OperatorsBackend#applyChange}. */
    CompletableFuture<ChangeOutcome> apply(OperatorsBackend.ChangeRequest request);

    /** Restores an earlier revision; see {@link OperatorsBackend#rollBack}. */
    CompletableFuture<ChangeOutcome> rollBack(OperatorsBackend.RollbackRequest request);

    /** Finds a change; see {@link OperatorsBackend#findChange}. */
    CompletableFuture<GetChangeResponse> find(String changeId);

    /** Lists accepted changes; see {@link OperatorsBackend#listChanges}. */
    CompletableFuture<Result<HistoryResponse>> list(long beforeRevision, int limit);

    /** Completes when the configuration has been read, or with why it could not be. */
    CompletableFuture<Result<Long>> catchUp();
}
