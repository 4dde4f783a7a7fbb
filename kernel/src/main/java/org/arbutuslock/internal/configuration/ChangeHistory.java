package org.arbutuslock.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.StoreEntry;

/**
 * Reads accepted changes and rebuilds earlier configurations from the platform's store.
 *
 * <pre>{@code
 * log.history().list(holder.current().revision(), 20).thenAccept(page -> ...);
 * }</pre>
 */
public final class ChangeHistory {
    /**
     * Largest number of changes that a rebuild replays. Limits a rebuild to 157 list calls to the
     * store, below the default budget of 200 calls a second.
     */
    public static final int MAXIMUM_REPLAYED_CHANGES = 10_000;

    private static final int PAGE_ENTRIES = 64;
    private static final String PEER = "platform store";

    private final PlatformStore mStore;
    private final SnapshotStore mSnapshots;

    ChangeHistory(PlatformStore store, SnapshotStore snapshots) {
        mStore = store;
        mSnapshots = snapshots;
    }

    /**
     * A page of accepted changes.
     *
     * @param changes changes, newest first
     * @param oldestRevision revision of the oldest change in the log, or 0 when the log is empty
     */
    public record Page(List<ConfigurationChange> changes, long oldestRevision) {
        /** Copies the changes, so that the page is immutable. */
        public Page {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Lists accepted changes from the newest to the oldest.
     *
     * @param newestRevision newest revision to list
     * @param limit largest number of changes, at least 1
     * @return page of changes, or why they cannot be read
     */
    public CompletableFuture<Result<Page>> list(long newestRevision, int limit) {
        return mStore.list(ConfigurationKeys.CHANGES, "", 1)
                .thenCompose(
                        result ->
                                switch (result) {
                                    case ListResult.Unavailable(Failure failure) ->
                                            CompletableFuture.completedFuture(
                                                    new Result.Failed<Page>(failure));
                                    case ListResult.Page page ->
                                            listFrom(oldestOf(page), newestRevision, limit);
                                });
    }

    private CompletableFuture<Result<Page>> listFrom(long oldest, long newest, int limit) {
        long first = Math.max(oldest, newest - limit + 1);
        if (oldest == 0 || first > newest) {
            return CompletableFuture.completedFuture(Result.success(new Page(List.of(), oldest)));
        }
        return read(first, newest)
                .thenApply(
                        result ->
                                switch (result) {
                                    case Result.Success<List<ConfigurationChange>>(var changes) ->
                                            Result.success(new Page(changes.reversed(), oldest));
                                    case Result.Failed<List<ConfigurationChange>>(var failure) ->
                                            new Result.Failed<>(failure);
                                });
    }

    private static long oldestOf(ListResult.Page page) {
        return page.entries().isEmpty()
                ? 0
                : ConfigurationKeys.revisionOf(page.entries().getFirst().key());
    }

    /**
     * Reads consecutive changes.
     *
     * @param first first revision, at least 1
     * @param last last revision
     * @return all changes in order, or why one of them cannot be read
     */
    public CompletableFuture<Result<List<ConfigurationChange>>> read(long first, long last) {
        return readPages(first, last, new ArrayList<>());
    }

    private CompletableFuture<Result<List<ConfigurationChange>>> readPages(
            long next, long last, List<ConfigurationChange> changes) {
        if (next > last) {
            return CompletableFuture.completedFuture(Result.success(changes));
        }
        int limit = (int) Math.min(PAGE_ENTRIES, last - next + 1);
        return mStore.list(ConfigurationKeys.CHANGES, ConfigurationKeys.before(next), limit)
                .thenCompose(
                        result ->
                                switch (result) {
                                    case ListResult.Unavailable(Failure failure) ->
                                            CompletableFuture.completedFuture(
                                                    new Result.Failed<>(failure));
                                    case ListResult.Page page ->
                                            addPage(page.entries(), next, last, changes);
                                });
    }

    private CompletableFuture<Result<List<ConfigurationChange>>> addPage(
            List<StoreEntry> entries, long next, long last, List<ConfigurationChange> changes) {
        if (entries.isEmpty()) {
            return failed("the log has no revision " + next);
        }
        long expected = next;
        for (StoreEntry entry : entries) {
            try {
                ConfigurationChange change = ConfigurationChangeCodec.decode(entry.value());
                if (change.revision() != expected
                        || !ConfigurationKeys.change(expected).equals(entry.key())) {
                    return failed("the log has no revision " + expected);
                }
                changes.add(change);
                expected++;
            } catch (MalformedConfigurationException malformed) {
                return failed(entry.key() + " cannot be parsed: " + malformed.getMessage());
            }
        }
        return readPages(expected, last, changes);
    }

    private static CompletableFuture<Result<List<ConfigurationChange>>> failed(String reason) {
        return CompletableFuture.completedFuture(
                Result.failed("read the change log", PEER, reason));
    }

    /**
     * Rebuilds the configuration of a revision from the newest snapshot up to that revision and the
     * changes that follow the snapshot.
     *
     * @param revision revision to rebuild, 0 for the empty configuration
     * @return the configuration, or why it cannot be rebuilt
     */
    public CompletableFuture<Result<Configuration>> rebuild(long revision) {
        if (revision == 0) {
            return CompletableFuture.completedFuture(Result.success(Configuration.EMPTY));
        }
        return mSnapshots
                .loadAtMost(revision)
                .thenCompose(
                        result ->
                                switch (result) {
                                    case Result.Success<Configuration>(Configuration base) ->
                                            replay(base, revision);
                                    case Result.Failed<Configuration> failure ->
                                            CompletableFuture.completedFuture(failure);
                                });
    }

    private CompletableFuture<Result<Configuration>> replay(Configuration base, long revision) {
        long count = revision - base.revision();
        if (count > MAXIMUM_REPLAYED_CHANGES) {
            return CompletableFuture.completedFuture(
                    Result.failed(
                            "rebuild revision " + revision,
                            PEER,
                            count
                                    + " changes follow the newest snapshot before it; at most "
                                    + MAXIMUM_REPLAYED_CHANGES
                                    + " are replayed"));
        }
        return read(base.revision() + 1, revision).thenApply(result -> applyAll(base, result));
    }

    private static Result<Configuration> applyAll(
            Configuration base, Result<List<ConfigurationChange>> result) {
        return switch (result) {
            case Result.Failed<List<ConfigurationChange>>(Failure failure) ->
                    new Result.Failed<>(failure);
            case Result.Success<List<ConfigurationChange>>(var changes) -> {
                Configuration configuration = base;
                for (ConfigurationChange change : changes) {
                    configuration = configuration.apply(change);
                }
                yield Result.success(configuration);
            }
        };
    }
}
