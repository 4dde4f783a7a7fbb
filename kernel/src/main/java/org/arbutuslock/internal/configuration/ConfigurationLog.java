package org.arbutuslock.internal.configuration;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.PlatformStore;

/**
 * The log of configuration changes in the platform's store, with one key per revision. A change is
 * accepted when the create of the key of the next revision has taken effect.
 *
 * <pre>{@code
 * ConfigurationLog log = new ConfigurationLog(store, holder, clock, timer, random);
 * AutoCloseable follower = log.follow();
 * log.submit(changeId, "ada", holder.current().revision(), operations, deadlineNanos)
 *         .thenAccept(result -> ...);
 * }</pre>
 */
public final class ConfigurationLog {
    private static final Duration FIRST_RETRY = Duration.ofMillis(50);
    private static final Duration LONGEST_SUBMIT_RETRY = Duration.ofSeconds(1);

    /**
     * Longer than the delay for submissions, because a node that cannot read the log still receives
     * changes from its peers.
     */
    private static final Duration LONGEST_FOLLOW_RETRY = Duration.ofSeconds(10);

    private final PlatformStore mStore;
    private final ConfigurationHolder mHolder;
    private final Clock mClock;
    private final TaskTimer mTimer;
    private final RandomGenerator mRandom;
    private final SnapshotStore mSnapshots;
    private final ChangeReader mReader;

    /**
     * Creates a log.
     *
     * @param store platform's store
     * @param holder receives the changes that are read from the store or accepted by it
     * @param clock source of deadlines and of the submission times of changes
     * @param timer runs retries, deadlines and periodic lists
     * @param random source of the jitter of retries; used from several threads
     */
    public ConfigurationLog(
            PlatformStore store,
            ConfigurationHolder holder,
            Clock clock,
            TaskTimer timer,
            RandomGenerator random) {
        mStore = store;
        mHolder = holder;
        mClock = clock;
        mTimer = timer;
        mRandom = random;
        mSnapshots = new SnapshotStore(store);
        mReader = new ChangeReader(store, holder, mSnapshots);
    }

    /**
     * Submits a change. Submitting the same change again with the same id and base revision is safe
     * and has the effect of one submission.
     *
     * @param changeId id that the submitter chose
     * @param author operator who makes the change
     * @param baseRevision revision that the operator saw
     * @param operations operations of the change
     * @param deadlineNanos clock reading in nanoseconds at which the response is due
     * @return the response
     */
    public CompletableFuture<SubmitResult> submit(
            UUID changeId,
            String author,
            long baseRevision,
            List<ConfigurationOperation> operations,
            long deadlineNanos) {
        return submit(
                new ConfigurationChange(
                        baseRevision + 1,
                        changeId,
                        author,
                        mClock.wallTimeMillis(),
                        baseRevision,
                        operations),
                deadlineNanos);
    }

    /**
     * Submits a change that carries an operator's id or restores an earlier revision.
     *
     * @param change change whose revision is its base revision plus one
     * @param deadlineNanos clock reading in nanoseconds at which the response is due
     * @return the response
     */
    public CompletableFuture<SubmitResult> submit(ConfigurationChange change, long deadlineNanos) {
        long baseRevision = change.baseRevision();
        if (baseRevision < 0 || baseRevision == Long.MAX_VALUE) {
            return CompletableFuture.completedFuture(invalidBase(baseRevision));
        }
        long timeoutNanos = Math.max(0, deadlineNanos - mClock.nanoTime());
        return new ChangeSubmission(
                        mStore,
                        mHolder,
                        mReader,
                        mTimer,
                        new RetryDelays(FIRST_RETRY, LONGEST_SUBMIT_RETRY, mRandom),
                        change)
                .start(Duration.ofNanos(timeoutNanos));
    }

    private SubmitResult invalidBase(long baseRevision) {
        return new SubmitResult.Invalid(
                List.of(
                        new ValidationError(
                                "change",
                                "baseRevision",
                                Long.toString(baseRevision),
                                "0 to " + mHolder.current().revision())));
    }

    /**
     * Looks up whether a change was accepted.
     *
     * @param changeId id of the change
     * @return revision of the change if it is among the recent changes
     */
    public CompletableFuture<LookupResult> lookup(UUID changeId) {
        OptionalLong known = mHolder.current().revisionOf(changeId);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(new LookupResult.Accepted(known.getAsLong()));
        }
        return mReader.catchUp().thenApply(result -> lookUpAfter(result, changeId));
    }

    private LookupResult lookUpAfter(CatchUpResult result, UUID changeId) {
        Configuration current = mHolder.current();
        OptionalLong found = current.revisionOf(changeId);
        if (found.isPresent()) {
            return new LookupResult.Accepted(found.getAsLong());
        }
        return switch (result) {
            case CatchUpResult.Current _ ->
                    new LookupResult.NotFound(
                            current.recentChanges().firstRevision(), current.revision());
            case CatchUpResult.StoreUnavailable unavailable ->
                    new LookupResult.StoreUnavailable(unavailable.failure());
            case CatchUpResult.StoreBehind _, CatchUpResult.Refused _ ->
                    new LookupResult.StoreUnavailable(
                            new Failure("look up change", "platform store", result.toString()));
        };
    }

    /**
     * Returns a reader of the accepted changes and of earlier configurations.
     *
     * @return history of this log
     */
    public ChangeHistory history() {
        return new ChangeHistory(mStore, mSnapshots);
    }

    /**
     * Applies the newest snapshot, if no configuration is in force yet, and all following changes.
     *
     * @return whether all changes in the store are in force on this node now
     */
    public CompletableFuture<CatchUpResult> catchUp() {
        return mReader.catchUp();
    }

    /**
     * Keeps the holder up to date until closed: reads the log, watches it, and reads it again when
     * a revision is missing, when the watch ends and every 10 seconds.
     *
     * @return handle that stops following when it is closed
     */
    public AutoCloseable follow() {
        ChangeFollower follower =
                new ChangeFollower(
                        mStore,
                        mReader,
                        mTimer,
                        new RetryDelays(FIRST_RETRY, LONGEST_FOLLOW_RETRY, mRandom));
        follower.start();
        return follower;
    }

    /**
     * Writes a snapshot of the configuration in force if enough changes follow the newest one.
     * Several nodes can call this method at once.
     *
     * @param minimumChanges smallest number of changes since the newest snapshot
     * @return whether a snapshot was written, or why not
     */
    public CompletableFuture<SnapshotResult> compact(long minimumChanges) {
        return mReader.catchUp()
                .thenCompose(
                        result ->
                                result instanceof CatchUpResult.Current
                                        ? mSnapshots.save(mHolder.current(), minimumChanges)
                                        : CompletableFuture.completedFuture(
                                                new SnapshotResult.Failed(
                                                        new Failure(
                                                                "write snapshot",
                                                                "platform store",
                                                                result.toString()))));
    }
}
