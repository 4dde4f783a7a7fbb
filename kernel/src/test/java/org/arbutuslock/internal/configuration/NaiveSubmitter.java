package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WriteResult;

/**
 * Submitter with a deliberate bug: after a lost response it takes an absent key as proof that the
 * create failed.
 */
final class NaiveSubmitter {
    private static final SubmitResult NOT_ACCEPTED =
            new SubmitResult.StoreUnavailable(new Failure("submit", "fake store", "not accepted"));

    private final PlatformStore mStore;

    NaiveSubmitter(PlatformStore store) {
        mStore = store;
    }

    CompletableFuture<SubmitResult> submit(
            UUID changeId, long base, List<ConfigurationOperation> operations) {
        ConfigurationChange change =
                new ConfigurationChange(base + 1, changeId, "operator", 0, base, operations);
        String key = ConfigurationKeys.change(base + 1);
        byte[] value = ConfigurationChangeCodec.encode(change);
        return mStore.compareAndSwap(key, StoreEntry.ABSENT_VERSION, value, PlatformStore.NO_LEASE)
                .thenCompose(
                        result ->
                                switch (result) {
                                    case WriteResult.Applied _ ->
                                            done(new SubmitResult.Accepted(base + 1));
                                    case WriteResult.Unavailable _ -> done(NOT_ACCEPTED);
                                    case WriteResult.Conflict _, WriteResult.Unknown _ ->
                                            mStore.read(key)
                                                    .thenApply(
                                                            read ->
                                                                    compareWithStored(
                                                                            read, change));
                                });
    }

    private static SubmitResult compareWithStored(ReadResult result, ConfigurationChange change) {
        if (result instanceof ReadResult.Unavailable) {
            return new SubmitResult.Unknown(change.changeId());
        }
        if (!(result instanceof ReadResult.Found found)) {
            return NOT_ACCEPTED;
        }
        try {
            ConfigurationChange stored = ConfigurationChangeCodec.decode(found.entry().value());
            return stored.changeId().equals(change.changeId())
                    ? new SubmitResult.Accepted(stored.revision())
                    : new SubmitResult.Conflict(change, stored);
        } catch (MalformedConfigurationException malformed) {
            throw new AssertionError(malformed);
        }
    }

    private static CompletableFuture<SubmitResult> done(SubmitResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
