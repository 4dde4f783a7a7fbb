package org.arbutuslock.internal.configuration;

import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/** Reads snapshots and changes from the store and applies them to a holder. */
final class ChangeReader {
    private static final EventLogger LOGGER = EventLogger.forComponent("configuration");

    /** A page of typical changes has 40 KB; at most it has 64 MB, with changes of 1 MB each. */
    private static final int PAGE_ENTRIES = 64;

    private static final long NO_STORE_REVISION = -1;

    private final PlatformStore mStore;
    private final ConfigurationHolder mHolder;
    private final SnapshotStore mSnapshots;

    ChangeReader(PlatformStore store, ConfigurationHolder holder, SnapshotStore snapshots) {
        mStore = store;
        mHolder = holder;
        mSnapshots = snapshots;
    }

    /**
     * Applies the newest snapshot, if no configuration is in force yet, and then all following
     * changes.
     */
    CompletableFuture<CatchUpResult> catchUp() {
        if (mHolder.current().revision() > 0) {
            return listChanges();
        }
        return mSnapshots
                .load(mHolder)
                .thenCompose(
                        failure ->
                                failure.isPresent()
                                        ? CompletableFuture.completedFuture(failure.get())
                                        : listChanges());
    }

    /** Lists from the revision in force, to see whether the store still has that revision. */
    private CompletableFuture<CatchUpResult> listChanges() {
        long revision = mHolder.current().revision();
        return mStore.list(
                        ConfigurationKeys.CHANGES, ConfigurationKeys.before(revision), PAGE_ENTRIES)
                .thenCompose(result -> checkFirstPage(result, revision));
    }

    private CompletableFuture<CatchUpResult> checkFirstPage(ListResult result, long revision) {
        if (result instanceof ListResult.Page page && revision > 0) {
            String expectedKey = ConfigurationKeys.change(revision);
            if (page.entries().isEmpty() || !page.entries().getFirst().key().equals(expectedKey)) {
                LOGGER.log(Event.STORE_BEHIND, revision, expectedKey);
                return CompletableFuture.completedFuture(new CatchUpResult.StoreBehind(revision));
            }
        }
        return applyPages(result, NO_STORE_REVISION);
    }

    private CompletableFuture<CatchUpResult> applyPages(
            ListResult result, long firstStoreRevision) {
        return switch (result) {
            case ListResult.Unavailable unavailable ->
                    CompletableFuture.completedFuture(
                            new CatchUpResult.StoreUnavailable(unavailable.failure()));
            case ListResult.Page page -> applyPage(page, firstStoreRevision);
        };
    }

    private CompletableFuture<CatchUpResult> applyPage(
            ListResult.Page page, long firstStoreRevision) {
        for (StoreEntry entry : page.entries()) {
            ApplyResult applied = apply(entry);
            if (isRefusal(applied)) {
                return CompletableFuture.completedFuture(
                        new CatchUpResult.Refused(entry.key(), applied));
            }
        }
        long storeRevision =
                firstStoreRevision == NO_STORE_REVISION ? page.storeRevision() : firstStoreRevision;
        if (!page.more()) {
            return CompletableFuture.completedFuture(
                    new CatchUpResult.Current(mHolder.current().revision(), storeRevision));
        }
        String lastKey = page.entries().getLast().key();
        return mStore.list(ConfigurationKeys.CHANGES, lastKey, PAGE_ENTRIES)
                .thenCompose(next -> applyPages(next, storeRevision));
    }

    /** Applies one entry of the log. Logs an entry that is malformed or of another history. */
    ApplyResult apply(StoreEntry entry) {
        ApplyResult result = decodeAndApply(entry);
        switch (result) {
            case ApplyResult.Unparsable unparsable ->
                    LOGGER.log(
                            Event.CHANGE_UNPARSABLE,
                            entry.key(),
                            unparsable.reason(),
                            unparsable.revision());
            case ApplyResult.OtherHistory other ->
                    LOGGER.log(Event.CHANGE_OF_OTHER_HISTORY, entry.key(), other.reason());
            default -> {}
        }
        return result;
    }

    private ApplyResult decodeAndApply(StoreEntry entry) {
        try {
            ConfigurationChange change = ConfigurationChangeCodec.decode(entry.value());
            if (!ConfigurationKeys.change(change.revision()).equals(entry.key())) {
                return new ApplyResult.Unparsable(
                        mHolder.current().revision(),
                        "field revision: read "
                                + change.revision()
                                + ", allowed: the revision of the key "
                                + entry.key());
            }
            return mHolder.apply(change);
        } catch (MalformedConfigurationException malformed) {
            return new ApplyResult.Unparsable(mHolder.current().revision(), malformed.getMessage());
        }
    }

    static boolean isRefusal(ApplyResult result) {
        return switch (result) {
            case ApplyResult.Applied _, ApplyResult.AlreadyApplied _ -> false;
            case ApplyResult.Missing _,
                    ApplyResult.LowerRevision _,
                    ApplyResult.OtherHistory _,
                    ApplyResult.Unparsable _ ->
                    true;
        };
    }
}
