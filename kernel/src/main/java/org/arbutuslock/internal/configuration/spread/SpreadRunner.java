package org.arbutuslock.internal.configuration.spread;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.arbutuslock.internal.configuration.ApplyResult;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.SnapshotResult;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.messages.MessageFormatException;

/**
 * Runs a {@link ConfigurationSpread} on one executor and carries out its actions: sends messages,
 * applies changes to the configuration in force and calls the store.
 *
 * <pre>{@code
 * SpreadRunner runner = new SpreadRunner(spread, holder, log, slots, links::send, eventLoop);
 * runner.start();
 * }</pre>
 */
public final class SpreadRunner {
    private static final EventLogger LOGGER = EventLogger.forComponent("configuration");

    private final ConfigurationSpread mSpread;
    private final ConfigurationHolder mHolder;
    private final ConfigurationLog mLog;
    private final WatcherSlots mSlots;
    private final BiConsumer<String, byte[]> mSender;
    private final Executor mExecutor;
    private AutoCloseable mFollower = () -> {};
    private volatile boolean mStopped;
    private volatile SpreadStatus mStatus;

    /**
     * Creates a runner.
     *
     * @param spread state and decisions; used only on the executor from now on
     * @param holder holds the configuration in force at this node
     * @param log change log in the store
     * @param slots watcher slots of the availability zone in the store
     * @param sender sends a payload to an address; must not throw
     * @param executor runs one task at a time, in the order of submission
     */
    public SpreadRunner(
            ConfigurationSpread spread,
            ConfigurationHolder holder,
            ConfigurationLog log,
            WatcherSlots slots,
            BiConsumer<String, byte[]> sender,
            Executor executor) {
        mSpread = spread;
        mHolder = holder;
        mLog = log;
        mSlots = slots;
        mSender = sender;
        mExecutor = executor;
        mStatus = spread.status();
    }

    /** Starts to forward changes and snapshots that are applied to the holder. */
    public void start() {
        mHolder.addListener(
                new ConfigurationHolder.Listener() {
                    @Override
                    public void changeApplied(ConfigurationChange change) {
                        run(spread -> spread.applied(change));
                    }

                    @Override
                    public void snapshotApplied(Configuration configuration) {
                        run(spread -> spread.applied(configuration));
                    }
                });
    }

    /** Performs the periodic work; see {@link ConfigurationSpread#tick}. Safe on any thread. */
    public void tick() {
        run(ConfigurationSpread::tick);
    }

    /**
     * Replaces the set of known nodes. Safe on any thread.
     *
     * @param fleet all nodes that the membership protocol currently knows
     */
    public void updateFleet(FleetSnapshot fleet) {
        run(spread -> spread.updateFleet(fleet));
    }

    /**
     * Handles a message of a peer. Safe on any thread.
     *
     * @param node name of the sender
     * @param payload encoded message
     * @throws MessageFormatException when the payload is malformed; the refusal is also counted
     */
    public void receive(String node, byte[] payload) throws MessageFormatException {
        try {
            SpreadMessage message = SpreadMessageCodec.decode(payload);
            run(spread -> spread.receive(message));
        } catch (MessageFormatException malformed) {
            run(spread -> spread.malformed(node, malformed.getMessage()));
            throw malformed;
        }
    }

    /**
     * Returns the state that operators see. Safe on any thread.
     *
     * @return state after the last input was handled
     */
    public SpreadStatus status() {
        return mStatus;
    }

    /** Stops watching the store and ignores all later inputs. Safe on any thread. */
    public void stop() {
        mStopped = true;
        mExecutor.execute(this::stopWatching);
    }

    private void run(Function<ConfigurationSpread, List<SpreadAction>> step) {
        if (!mStopped) {
            mExecutor.execute(() -> runNow(step));
        }
    }

    private void runNow(Function<ConfigurationSpread, List<SpreadAction>> step) {
        if (!mStopped) {
            step.apply(mSpread).forEach(this::carryOut);
            mStatus = mSpread.status();
        }
    }

    private <T> void runAfter(
            CompletableFuture<T> call,
            Function<T, Function<ConfigurationSpread, List<SpreadAction>>> step) {
        call.thenAccept(result -> run(step.apply(result)));
    }

    private void carryOut(SpreadAction action) {
        switch (action) {
            case SpreadAction.Send send -> mSender.accept(send.address(), send.payload());
            case SpreadAction.ApplyChange(String peer, ConfigurationChange change) ->
                    check(peer, mHolder.apply(change));
            case SpreadAction.ApplySnapshot(String peer, Configuration configuration) ->
                    check(peer, mHolder.apply(configuration));
            case SpreadAction.Refused(String peer, String reason) ->
                    LOGGER.log(
                            Event.PEER_CONFIGURATION_REFUSED,
                            peer,
                            reason,
                            mHolder.current().revision());
            case SpreadAction.ListSlots _ ->
                    runAfter(mSlots.list(), taken -> spread -> spread.slotsListed(taken));
            case SpreadAction.ClaimSlot(int slot, long expectedVersion) ->
                    runAfter(
                            mSlots.claim(slot, expectedVersion),
                            claim -> spread -> spread.slotClaimed(slot, claim));
            case SpreadAction.RenewLease(long lease) ->
                    runAfter(
                            mSlots.renew(lease),
                            renewal -> spread -> spread.leaseRenewed(lease, renewal));
            case SpreadAction.StartWatching(int slot) -> startWatching(slot);
            case SpreadAction.StopWatching(String reason) -> {
                LOGGER.log(Event.WATCHER_STOPPED, reason);
                stopWatching();
            }
            case SpreadAction.Compact _ ->
                    mLog.compact(ConfigurationSpread.CHANGES_PER_SNAPSHOT)
                            .thenAccept(SpreadRunner::logFailure);
        }
    }

    private void check(String peer, ApplyResult result) {
        switch (result) {
            // LowerRevision: the store delivered newer changes while the snapshot was downloaded.
            case ApplyResult.Applied _,
                    ApplyResult.AlreadyApplied _,
                    ApplyResult.LowerRevision _ -> {}
            case ApplyResult.Missing _, ApplyResult.OtherHistory _, ApplyResult.Unparsable _ ->
                    runNow(spread -> spread.refused(peer, result.toString()));
        }
    }

    private void startWatching(int slot) {
        LOGGER.log(Event.WATCHER_STARTED, slot);
        stopWatching();
        mFollower = mLog.follow();
    }

    private void stopWatching() {
        try {
            mFollower.close();
        } catch (Exception failed) {
            LOGGER.log(Event.CONFIGURATION_WATCH_ENDED, "closing failed: " + failed);
        }
        mFollower = () -> {};
    }

    private static void logFailure(SnapshotResult result) {
        if (result instanceof SnapshotResult.Failed failed) {
            LOGGER.log(Event.SNAPSHOT_NOT_WRITTEN, failed.failure());
        }
    }
}
