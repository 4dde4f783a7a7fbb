package org.arbutuslock.internal.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WriteResult;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Writes and reads snapshots in the store. The parts are written before the head, so that the head
 * always refers to a complete snapshot.
 */
final class SnapshotStore {
    private static final EventLogger LOGGER = EventLogger.forComponent("configuration");
    private static final String PEER = "platform store";

    private final PlatformStore mStore;

    SnapshotStore(PlatformStore store) {
        mStore = store;
    }

    /** The head, and the version of its entry, which a write of the next head has to expect. */
    private record VersionedHead(SnapshotHead head, long version) {}

    /** Ends a chain of futures with the {@link Failure} of the step that failed. */
    private static final class SnapshotException extends RuntimeException {
        private final transient Failure mFailure;

        SnapshotException(Failure failure) {
            super(failure.toString());
            mFailure = failure;
        }
    }

    CompletableFuture<SnapshotResult> save(Configuration configuration, long minimumChanges) {
        return readHead()
                .thenCompose(current -> saveAfter(current, configuration, minimumChanges))
                .exceptionally(thrown -> new SnapshotResult.Failed(failureOf(thrown)));
    }

    private CompletableFuture<SnapshotResult> saveAfter(
            VersionedHead current, Configuration configuration, long minimumChanges) {
        SnapshotHead old = current.head();
        long changes = configuration.revision() - old.revision();
        if (changes < Math.max(1, minimumChanges)) {
            return CompletableFuture.completedFuture(new SnapshotResult.NotNeeded(old.revision()));
        }
        List<byte[]> parts = SnapshotCodec.encode(configuration);
        SnapshotHead head =
                new SnapshotHead(
                        configuration.revision(), parts.size(), old.revision(), old.parts());
        return writeParts(configuration.revision(), parts, 0)
                .thenCompose(
                        done ->
                                write(
                                        ConfigurationKeys.SNAPSHOT_HEAD,
                                        current.version(),
                                        head.encode()))
                .thenCompose(done -> deleteParts(old.previousRevision(), old.previousParts()))
                .thenApply(done -> written(head));
    }

    private static SnapshotResult written(SnapshotHead head) {
        LOGGER.log(Event.SNAPSHOT_WRITTEN, head.revision(), head.parts());
        return new SnapshotResult.Written(head.revision(), head.parts());
    }

    private CompletableFuture<Void> writeParts(long revision, List<byte[]> parts, int index) {
        if (index == parts.size()) {
            return CompletableFuture.completedFuture(null);
        }
        String key = ConfigurationKeys.snapshotPart(revision, index);
        return write(key, StoreEntry.ABSENT_VERSION, parts.get(index))
                .thenCompose(done -> writeParts(revision, parts, index + 1));
    }

    /**
     * Writes a value. After a conflict or a lost response, the write succeeds if the key holds the
     * same bytes, because several nodes can write the same snapshot at the same time.
     */
    private CompletableFuture<Void> write(String key, long expectedVersion, byte[] value) {
        return mStore.compareAndSwap(key, expectedVersion, value, PlatformStore.NO_LEASE)
                .thenCompose(
                        result ->
                                switch (result) {
                                    case WriteResult.Applied _ ->
                                            CompletableFuture.<Void>completedFuture(null);
                                    case WriteResult.Unavailable unavailable ->
                                            throw new SnapshotException(unavailable.failure());
                                    case WriteResult.Conflict _, WriteResult.Unknown _ ->
                                            requireValue(key, value);
                                });
    }

    private CompletableFuture<Void> requireValue(String key, byte[] value) {
        return read(key)
                .thenAccept(
                        entry -> {
                            if (entry.isEmpty() || !Arrays.equals(entry.get().value(), value)) {
                                throw failed(key + " was not written or holds other bytes");
                            }
                        });
    }

    /**
     * Deletes parts that no head refers to. Parts whose deletion fails stay in the store unused.
     */
    private CompletableFuture<Void> deleteParts(long revision, int parts) {
        CompletableFuture<Void> done = CompletableFuture.completedFuture(null);
        for (int index = 0; index < parts; index++) {
            String key = ConfigurationKeys.snapshotPart(revision, index);
            done = done.thenCompose(before -> mStore.delete(key, 1).thenApply(result -> null));
        }
        return done;
    }

    /**
     * Loads the newest snapshot, if there is one, into a holder. Returns empty on success and the
     * reason otherwise.
     */
    CompletableFuture<Optional<CatchUpResult>> load(ConfigurationHolder holder) {
        return readHead()
                .thenCompose(current -> loadParts(current.head(), new SnapshotAssembler(), 0))
                .thenApply(configuration -> apply(holder, configuration))
                .exceptionally(
                        thrown ->
                                Optional.of(new CatchUpResult.StoreUnavailable(failureOf(thrown))));
    }

    /**
     * Loads the newest kept snapshot up to a revision, or the empty configuration when there is
     * none.
     */
    CompletableFuture<Result<Configuration>> loadAtMost(long revision) {
        return readHead()
                .thenApply(current -> chooseAtMost(current.head(), revision))
                .thenCompose(head -> loadParts(head, new SnapshotAssembler(), 0))
                .thenApply(found -> Result.success(found.orElse(Configuration.EMPTY)))
                .exceptionally(thrown -> new Result.Failed<>(failureOf(thrown)));
    }

    private static SnapshotHead chooseAtMost(SnapshotHead head, long revision) {
        if (head.revision() <= revision) {
            return head;
        }
        return head.previousParts() > 0 && head.previousRevision() <= revision
                ? new SnapshotHead(head.previousRevision(), head.previousParts(), 0, 0)
                : SnapshotHead.NONE;
    }

    private static Optional<CatchUpResult> apply(
            ConfigurationHolder holder, Optional<Configuration> configuration) {
        return configuration
                .map(holder::apply)
                .filter(ChangeReader::isRefusal)
                // A lower revision is no failure: peers delivered a newer one in the meantime.
                .filter(result -> !(result instanceof ApplyResult.LowerRevision))
                .map(result -> new CatchUpResult.Refused(ConfigurationKeys.SNAPSHOT_HEAD, result));
    }

    private CompletableFuture<Optional<Configuration>> loadParts(
            SnapshotHead head, SnapshotAssembler assembler, int index) {
        if (head.equals(SnapshotHead.NONE)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (index == head.parts()) {
            return CompletableFuture.completedFuture(complete(head, assembler));
        }
        String key = ConfigurationKeys.snapshotPart(head.revision(), index);
        return read(key)
                .thenCompose(
                        entry -> {
                            addPart(assembler, key, entry);
                            return loadParts(head, assembler, index + 1);
                        });
    }

    private static void addPart(
            SnapshotAssembler assembler, String key, Optional<StoreEntry> entry) {
        if (entry.isEmpty()) {
            throw failed(key + " is missing; a newer snapshot has probably replaced it, try again");
        }
        try {
            assembler.add(entry.get().value());
        } catch (MalformedConfigurationException malformed) {
            throw unparsable(key, malformed);
        }
    }

    private static Optional<Configuration> complete(
            SnapshotHead head, SnapshotAssembler assembler) {
        try {
            Optional<Configuration> configuration = assembler.complete();
            if (configuration.isEmpty() || configuration.get().revision() != head.revision()) {
                throw failed("snapshot " + head.revision() + " does not match its head");
            }
            return configuration;
        } catch (MalformedConfigurationException malformed) {
            throw unparsable(ConfigurationKeys.SNAPSHOT_HEAD, malformed);
        }
    }

    private CompletableFuture<VersionedHead> readHead() {
        return read(ConfigurationKeys.SNAPSHOT_HEAD).thenApply(SnapshotStore::decodeHead);
    }

    private static VersionedHead decodeHead(Optional<StoreEntry> entry) {
        if (entry.isEmpty()) {
            return new VersionedHead(SnapshotHead.NONE, StoreEntry.ABSENT_VERSION);
        }
        try {
            SnapshotHead head = SnapshotHead.decode(entry.get().value());
            return new VersionedHead(head, entry.get().version());
        } catch (MalformedConfigurationException malformed) {
            throw unparsable(ConfigurationKeys.SNAPSHOT_HEAD, malformed);
        }
    }

    private CompletableFuture<Optional<StoreEntry>> read(String key) {
        return mStore.read(key)
                .thenApply(
                        result ->
                                switch (result) {
                                    case ReadResult.Found found -> Optional.of(found.entry());
                                    case ReadResult.Absent _ -> Optional.empty();
                                    case ReadResult.Unavailable unavailable ->
                                            throw new SnapshotException(unavailable.failure());
                                });
    }

    private static SnapshotException unparsable(
            String key, MalformedConfigurationException malformed) {
        LOGGER.log(Event.CHANGE_UNPARSABLE, key, malformed.getMessage(), "unchanged");
        return failed(key + " cannot be parsed: " + malformed.getMessage());
    }

    private static SnapshotException failed(String reason) {
        return new SnapshotException(new Failure("read or write snapshot", PEER, reason));
    }

    private static Failure failureOf(Throwable thrown) {
        Throwable cause = thrown.getCause() == null ? thrown : thrown.getCause();
        return cause instanceof SnapshotException snapshotException
                ? snapshotException.mFailure
                : new Failure("read or write snapshot", PEER, cause.toString());
    }
}
