package org.arbutuslock.daemon.internal.operators;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.internal.configuration.CatchUpResult;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationDifference;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.configuration.LookupResult;
import org.arbutuslock.internal.configuration.SubmitResult;
import org.arbutuslock.v1.Change;
import org.arbutuslock.v1.ChangeAbsent;
import org.arbutuslock.v1.ChangeOutcome;
import org.arbutuslock.v1.GetChangeResponse;
import org.arbutuslock.v1.HistoryResponse;

/** Submits changes and rollbacks to the change log and reports their outcomes. */
final class ChangeCommands implements ConfigurationChanges {
    /**
     * Number of changes whose base revision is kept; enough for 30 s of submissions at 30 changes
     * per second.
     */
    private static final int REMEMBERED_SUBMISSIONS = 1_024;

    private final ConfigurationLog mLog;
    private final ConfigurationHolder mHolder;
    private final Clock mClock;
    private final ChangeListing mChangeListing;
    private final Map<UUID, Long> mBaseRevisions =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<UUID, Long> eldest) {
                    return size() > REMEMBERED_SUBMISSIONS;
                }
            };

    ChangeCommands(ConfigurationLog log, ConfigurationHolder holder, Clock clock) {
        mLog = log;
        mHolder = holder;
        mClock = clock;
        mChangeListing = new ChangeListing(log, holder);
    }

    @Override
    public CompletableFuture<ChangeOutcome> apply(OperatorsBackend.ChangeRequest request) {
        UUID id = ChangeIds.toUuid(request.changeId());
        var known = mHolder.current().revisionOf(id);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(ChangeOutcomes.accepted(known.getAsLong()));
        }
        return submit(
                new ConfigurationChange(
                        request.baseRevision() + 1,
                        id,
                        request.author(),
                        mClock.wallTimeMillis(),
                        request.baseRevision(),
                        OperationConverter.toOperations(request.operations()),
                        ChangeIds.textToKeep(request.changeId()),
                        0),
                deadline(request.timeout()));
    }

    @Override
    public CompletableFuture<ChangeOutcome> rollBack(OperatorsBackend.RollbackRequest request) {
        long deadline = deadline(request.timeout());
        return mLog.lookup(ChangeIds.toUuid(request.changeId()))
                .thenCompose(
                        found ->
                                switch (found) {
                                    case LookupResult.Accepted(long revision) ->
                                            CompletableFuture.completedFuture(
                                                    ChangeOutcomes.accepted(revision));
                                    case LookupResult.StoreUnavailable(Failure failure) ->
                                            CompletableFuture.completedFuture(
                                                    ChangeOutcomes.storeUnavailable(failure));
                                    case LookupResult.NotFound _ -> restore(request, deadline);
                                });
    }

    private CompletableFuture<ChangeOutcome> restore(
            OperatorsBackend.RollbackRequest request, long deadline) {
        Configuration current = mHolder.current();
        if (request.baseRevision() > current.revision()) {
            return invalid("base_revision", request.baseRevision(), current.revision(), "");
        }
        if (request.revision() > request.baseRevision()) {
            return invalid(
                    "revision",
                    request.revision(),
                    request.baseRevision(),
                    "only a revision up to the base revision can be restored");
        }
        if (request.baseRevision() < current.revision()) {
            // The operations are not used: the log finds the change that follows the base revision.
            return submit(toChange(request, List.of()), deadline);
        }
        return mLog.history()
                .rebuild(request.revision())
                .thenCompose(
                        rebuilt ->
                                switch (rebuilt) {
                                    case Result.Failed<Configuration>(Failure failure) ->
                                            CompletableFuture.completedFuture(
                                                    ChangeOutcomes.storeUnavailable(failure));
                                    case Result.Success<Configuration>(Configuration earlier) ->
                                            submitDifference(request, current, earlier, deadline);
                                });
    }

    private CompletableFuture<ChangeOutcome> submitDifference(
            OperatorsBackend.RollbackRequest request,
            Configuration current,
            Configuration earlier,
            long deadline) {
        List<ConfigurationOperation> operations = ConfigurationDifference.between(current, earlier);
        if (operations.isEmpty()) {
            return invalid(
                    "revision",
                    request.revision(),
                    request.baseRevision(),
                    "the entities in force equal those of this revision; there is"
                            + " nothing to restore");
        }
        return submit(toChange(request, operations), deadline);
    }

    private ConfigurationChange toChange(
            OperatorsBackend.RollbackRequest request, List<ConfigurationOperation> operations) {
        return new ConfigurationChange(
                request.baseRevision() + 1,
                ChangeIds.toUuid(request.changeId()),
                request.author(),
                mClock.wallTimeMillis(),
                request.baseRevision(),
                operations,
                ChangeIds.textToKeep(request.changeId()),
                request.revision());
    }

    private static CompletableFuture<ChangeOutcome> invalid(
            String field, long value, long highest, String message) {
        return CompletableFuture.completedFuture(
                ChangeOutcomes.invalid(field, Long.toString(value), "0 to " + highest, message));
    }

    private CompletableFuture<ChangeOutcome> submit(ConfigurationChange change, long deadline) {
        rememberBaseRevision(change);
        return mLog.submit(change, deadline)
                .thenCompose(result -> checkEarlierAcceptance(change, result));
    }

    /**
     * Looks up a change that was refused as invalid or in conflict. If an earlier attempt with the
     * same id was accepted, the outcome is accepted, even if this attempt had other operations.
     */
    private CompletableFuture<ChangeOutcome> checkEarlierAcceptance(
            ConfigurationChange change, SubmitResult result) {
        if (!(result instanceof SubmitResult.Invalid)
                && !(result instanceof SubmitResult.Conflict)) {
            return CompletableFuture.completedFuture(format(change, result));
        }
        return mLog.lookup(change.changeId())
                .thenApply(
                        found ->
                                found instanceof LookupResult.Accepted(long revision)
                                        ? ChangeOutcomes.accepted(revision)
                                        : format(change, result));
    }

    private ChangeOutcome format(ConfigurationChange change, SubmitResult result) {
        return ChangeOutcomes.format(
                result, change.displayId(), change.operations(), mHolder.current().revision());
    }

    @Override
    public CompletableFuture<GetChangeResponse> find(String changeId) {
        return mLog.lookup(ChangeIds.toUuid(changeId))
                .thenCompose(
                        found ->
                                switch (found) {
                                    case LookupResult.Accepted(long revision) ->
                                            readAccepted(changeId, revision);
                                    case LookupResult.NotFound notFound ->
                                            CompletableFuture.completedFuture(
                                                    absent(changeId, notFound));
                                    case LookupResult.StoreUnavailable(Failure failure) ->
                                            CompletableFuture.completedFuture(
                                                    GetChangeResponse.newBuilder()
                                                            .setStoreUnavailable(
                                                                    ChangeOutcomes.unavailable(
                                                                            failure))
                                                            .build());
                                });
    }

    /**
     * Reads the content of an accepted change. If the store cannot be read, the response has only
     * the revision, the id and the base revision.
     */
    private CompletableFuture<GetChangeResponse> readAccepted(String changeId, long revision) {
        return mLog.history()
                .read(revision, revision)
                .thenApply(
                        result ->
                                result
                                                instanceof
                                                Result.Success<List<ConfigurationChange>>(
                                                        var changes)
                                        ? OperationConverter.toChange(changes.getFirst())
                                        : Change.newBuilder()
                                                .setRevision(revision)
                                                .setChangeId(changeId)
                                                .setBaseRevision(revision - 1)
                                                .build())
                .thenApply(change -> GetChangeResponse.newBuilder().setAccepted(change).build());
    }

    /**
     * Reports that a change was not found. This is definite only if its base revision is known and
     * the log was searched from the next revision on: a change can no longer be accepted once
     * another one follows its base revision.
     */
    private GetChangeResponse absent(String changeId, LookupResult.NotFound notFound) {
        Long base;
        synchronized (mBaseRevisions) {
            base = mBaseRevisions.get(ChangeIds.toUuid(changeId));
        }
        boolean definite =
                base != null
                        && notFound.firstRevision() <= base + 1
                        && notFound.lastRevision() > base;
        return GetChangeResponse.newBuilder()
                .setAbsent(
                        ChangeAbsent.newBuilder()
                                .setSearchedRevision(notFound.lastRevision())
                                .setDefinite(definite))
                .build();
    }

    @Override
    public CompletableFuture<Result<HistoryResponse>> list(long beforeRevision, int limit) {
        return mChangeListing.list(beforeRevision, limit);
    }

    @Override
    public CompletableFuture<Result<Long>> catchUp() {
        return mLog.catchUp().thenApply(this::toRevision);
    }

    private Result<Long> toRevision(CatchUpResult result) {
        return switch (result) {
            case CatchUpResult.StoreUnavailable(Failure failure) -> new Result.Failed<>(failure);
            case CatchUpResult.Current _ -> Result.success(mHolder.current().revision());
            default -> Result.failed("read configuration", "change log", result.toString());
        };
    }

    private void rememberBaseRevision(ConfigurationChange change) {
        synchronized (mBaseRevisions) {
            // Of several attempts, the one with the highest base revision is the last that can be
            // accepted.
            mBaseRevisions.merge(change.changeId(), change.baseRevision(), Math::max);
        }
    }

    private long deadline(Duration timeout) {
        return mClock.nanoTime() + timeout.toNanos();
    }
}
