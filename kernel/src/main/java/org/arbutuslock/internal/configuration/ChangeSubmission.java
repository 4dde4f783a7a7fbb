package org.arbutuslock.internal.configuration;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.store.ListResult;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.api.store.ReadResult;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.api.store.WriteResult;

/**
 * Submits one change. Validates the change, checks that the store still has the base revision and
 * creates the key of the next revision. When the response to the create is lost, reads the key back
 * and retries the same create until the outcome is known or the deadline passes.
 */
final class ChangeSubmission {
    private static final String STEP = "submit configuration change";
    private static final String PEER = "platform store";

    /** Whether a create of this submission may have taken effect or can still take effect. */
    private enum Phase {
        /** No create has been sent. */
        NOTHING_SENT,
        /** At least one create has been sent; its outcome may be unknown. */
        SENT,
        /** The deadline has passed; no further create is sent. */
        EXPIRED
    }

    private final PlatformStore mStore;
    private final ConfigurationHolder mHolder;
    private final ChangeReader mReader;
    private final TaskTimer mTimer;
    private final RetryDelays mDelays;
    private final ConfigurationChange mChange;
    private final byte[] mEncoded;
    private final String mKey;
    private final AtomicReference<Phase> mPhase = new AtomicReference<>(Phase.NOTHING_SENT);
    private final CompletableFuture<SubmitResult> mResult = new CompletableFuture<>();
    private volatile boolean mResponseWasLost;

    ChangeSubmission(
            PlatformStore store,
            ConfigurationHolder holder,
            ChangeReader reader,
            TaskTimer timer,
            RetryDelays delays,
            ConfigurationChange change) {
        mStore = store;
        mHolder = holder;
        mReader = reader;
        mTimer = timer;
        mDelays = delays;
        mChange = change;
        mEncoded = ConfigurationChangeCodec.encode(change);
        mKey = ConfigurationKeys.change(change.revision());
    }

    CompletableFuture<SubmitResult> start(Duration timeout) {
        mTimer.runAfter(timeout, this::expire);
        if (mHolder.current().revision() >= mChange.baseRevision()) {
            checkBase();
        } else {
            mReader.catchUp().thenAccept(this::checkCatchUp);
        }
        return mResult;
    }

    private void expire() {
        Phase before = mPhase.getAndSet(Phase.EXPIRED);
        mResult.complete(
                before == Phase.SENT
                        ? new SubmitResult.Unknown(mChange.changeId())
                        : unavailable("the deadline passed before the change was sent"));
    }

    private void checkCatchUp(CatchUpResult result) {
        switch (result) {
            case CatchUpResult.Current _ -> checkBase();
            case CatchUpResult.StoreBehind behind ->
                    finish(
                            unavailable(
                                    "the store lacks revision "
                                            + behind.revision()
                                            + "; restore its newest backup"));
            case CatchUpResult.Refused refused ->
                    finish(unavailable("the change log is damaged at " + refused.key()));
            case CatchUpResult.StoreUnavailable unavailable ->
                    finish(new SubmitResult.StoreUnavailable(unavailable.failure()));
        }
    }

    private void checkBase() {
        Configuration current = mHolder.current();
        OptionalLong known = current.revisionOf(mChange.changeId());
        if (known.isPresent()) {
            finish(new SubmitResult.Accepted(known.getAsLong()));
        } else if (current.revision() > mChange.baseRevision()) {
            readBack();
        } else if (current.revision() < mChange.baseRevision()) {
            finish(invalidBase(current.revision()));
        } else {
            checkContent(current);
        }
    }

    private SubmitResult invalidBase(long revision) {
        return new SubmitResult.Invalid(
                List.of(
                        new ValidationError(
                                "change",
                                "baseRevision",
                                Long.toString(mChange.baseRevision()),
                                "0 to " + revision)));
    }

    private void checkContent(Configuration base) {
        List<ValidationError> errors = ChangeChecks.check(base, mChange, mEncoded.length);
        if (!errors.isEmpty()) {
            finish(new SubmitResult.Invalid(errors));
            return;
        }
        mStore.list(ConfigurationKeys.CHANGES, ConfigurationKeys.before(base.revision()), 2)
                .thenAccept(result -> checkStoreHasBase(base, result));
    }

    /**
     * Creates the next key only in a store that has the base revision. In a store that lost it, the
     * new key would leave a gap in the log.
     */
    private void checkStoreHasBase(Configuration base, ListResult result) {
        switch (result) {
            case ListResult.Unavailable unavailable ->
                    finish(new SubmitResult.StoreUnavailable(unavailable.failure()));
            case ListResult.Page page -> {
                List<StoreEntry> entries = page.entries();
                if (base.revision() > 0 && !isBase(base, entries)) {
                    finish(
                            unavailable(
                                    "the store lacks revision "
                                            + base.revision()
                                            + ", which is in force on this node; the store was"
                                            + " probably restored from an older backup"));
                    return;
                }
                if (!entries.isEmpty() && entries.getLast().key().equals(mKey)) {
                    resolve(entries.getLast());
                } else {
                    create();
                }
            }
        }
    }

    private static boolean isBase(Configuration base, List<StoreEntry> entries) {
        if (entries.isEmpty()) {
            return false;
        }
        try {
            ConfigurationChange found = ConfigurationChangeCodec.decode(entries.getFirst().value());
            return found.revision() == base.revision()
                    && found.changeId().equals(base.recentChanges().idOf(base.revision()));
        } catch (MalformedConfigurationException malformed) {
            return false;
        }
    }

    private void create() {
        if (!enterSent()) {
            return;
        }
        mStore.compareAndSwap(mKey, StoreEntry.ABSENT_VERSION, mEncoded, PlatformStore.NO_LEASE)
                .thenAccept(this::handleCreated);
    }

    private boolean enterSent() {
        Phase before = mPhase.getAndUpdate(phase -> phase == Phase.EXPIRED ? phase : Phase.SENT);
        return before != Phase.EXPIRED;
    }

    private void handleCreated(WriteResult result) {
        switch (result) {
            case WriteResult.Applied _ -> accept(mChange);
            case WriteResult.Conflict _ -> readBack();
            case WriteResult.Unknown _ -> {
                mResponseWasLost = true;
                retry(this::readBack);
            }
            case WriteResult.Unavailable unavailable -> handleUnavailable(unavailable.failure());
        }
    }

    /**
     * Ends the submission, unless the response to an earlier create was lost. That create can still
     * take effect even though the store refused this one.
     */
    private void handleUnavailable(Failure failure) {
        if (mResponseWasLost) {
            retry(this::readBack);
        } else {
            finish(new SubmitResult.StoreUnavailable(failure));
        }
    }

    private void readBack() {
        // Other nodes can deliver the accepted change while the store is unavailable.
        OptionalLong known = mHolder.current().revisionOf(mChange.changeId());
        if (known.isPresent()) {
            finish(new SubmitResult.Accepted(known.getAsLong()));
        } else {
            mStore.read(mKey).thenAccept(this::handleRead);
        }
    }

    private void handleRead(ReadResult result) {
        switch (result) {
            case ReadResult.Found found -> resolve(found.entry());
            case ReadResult.Absent _ -> handleAbsent();
            case ReadResult.Unavailable unavailable ->
                    retryRead(new SubmitResult.StoreUnavailable(unavailable.failure()));
        }
    }

    /**
     * Retries the same create. An absent key does not prove that the earlier create failed, because
     * that create can still be in flight. The create is not retried when the store lacks a revision
     * that is in force on this node.
     */
    private void handleAbsent() {
        long revision = mHolder.current().revision();
        if (revision > mChange.baseRevision()) {
            retryRead(unavailable("the store lacks revision " + mChange.revision()));
        } else {
            retry(this::create);
        }
    }

    private void retryRead(SubmitResult resultWhenNothingWasSent) {
        if (mPhase.get() == Phase.NOTHING_SENT) {
            finish(resultWhenNothingWasSent);
        } else {
            retry(this::readBack);
        }
    }

    /**
     * Ends the submission by comparing it with the change that the key holds. Keys of changes are
     * never deleted, so the result is final.
     */
    private void resolve(StoreEntry entry) {
        try {
            ConfigurationChange found = ConfigurationChangeCodec.decode(entry.value());
            if (found.changeId().equals(mChange.changeId())) {
                accept(found);
            } else {
                finish(new SubmitResult.Conflict(mChange, found));
            }
        } catch (MalformedConfigurationException malformed) {
            finish(unavailable(entry.key() + " cannot be parsed: " + malformed.getMessage()));
        }
    }

    private void accept(ConfigurationChange stored) {
        mHolder.apply(stored);
        finish(new SubmitResult.Accepted(stored.revision()));
    }

    private void retry(Runnable step) {
        if (mPhase.get() != Phase.EXPIRED) {
            mTimer.runAfter(mDelays.next(), step);
        }
    }

    private void finish(SubmitResult result) {
        mResult.complete(result);
    }

    private static SubmitResult unavailable(String reason) {
        return new SubmitResult.StoreUnavailable(new Failure(STEP, PEER, reason));
    }
}
