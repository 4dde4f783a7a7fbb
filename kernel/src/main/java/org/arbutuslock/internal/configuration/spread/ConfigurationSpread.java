package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationChangeCodec;
import org.arbutuslock.internal.configuration.MalformedConfigurationException;
import org.arbutuslock.internal.membership.FleetSnapshot;

/**
 * Distributes configuration changes between the nodes of a fleet. A few nodes watch the store and
 * push its changes to their peers; nodes also compare revisions with each other and fetch what they
 * lack.
 *
 * <p>This class does no I/O: each method takes one input and returns the actions that the user of
 * this class must carry out in order. It is not thread-safe.
 *
 * <pre>{@code
 * ConfigurationSpread spread = new ConfigurationSpread(identity, holder::current, clock, random);
 * carryOut(spread.tick()); // every TICK_INTERVAL
 * carryOut(spread.receive(SpreadMessageCodec.decode(payload)));
 * }</pre>
 */
public final class ConfigurationSpread {
    /** Interval at which {@link #tick} must be called. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /**
     * Number of changes after which a watcher writes a snapshot to the store. At 0.5 changes per
     * second this is about half an hour.
     */
    public static final long CHANGES_PER_SNAPSHOT = 1_000;

    private static final long DIGEST_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Shortest time between two requests for changes. It is longer than a round trip between
     * regions, so that a request is seldom repeated while its response is still on the way.
     */
    private static final long PULL_INTERVAL_NANOS = Duration.ofMillis(150).toNanos();

    /**
     * Time without a watcher in the own availability zone after which nodes that are not candidates
     * may also claim a slot.
     */
    private static final long UNWATCHED_TIMEOUT_NANOS = Duration.ofSeconds(30).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Peer of a waiting change that this node applied itself. */
    private static final String LOCAL = "";

    /**
     * Consecutive ticks with a revision in force that is higher than the revision of the log, after
     * which the log continues at the revision in force without the changes in between.
     */
    private static final int MAXIMUM_LAG_TICKS = 5;

    private final NodeIdentity mSelf;
    private final Supplier<Configuration> mCurrent;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final SpreadPeers mPeers;
    private final RevisionPush mRevisionPush;
    private final RecentLog mLog = new RecentLog();
    private final WaitingChanges mWaiting = new WaitingChanges();
    private final SnapshotExchange mSnapshots;
    private final CompactionSchedule mCompaction;
    private final NeighborCheck mNeighbors = new NeighborCheck();
    private final PeerChecks mChecks = new PeerChecks();
    private final WatcherElection mElection;
    private final StartQuery mStart;
    private List<SpreadAction> mActions = new ArrayList<>();
    private long mNextDigestNanos;
    private long mPulledNanos;
    private long mWatcherHeardNanos;
    private int mLagTicks;

    /**
     * Creates the state of a node that has just started.
     *
     * @param self name, address and location of this node
     * @param current supplies the configuration in force at this node
     * @param clock clock of this node; only the monotonic time is used
     * @param random source of randomness for the choice of peers and for jitter
     */
    public ConfigurationSpread(
            NodeIdentity self,
            Supplier<Configuration> current,
            Clock clock,
            RandomGenerator random) {
        long now = clock.nanoTime();
        mSelf = self;
        mCurrent = current;
        mClock = clock;
        mRandom = random;
        mPeers = new SpreadPeers(self, random);
        mRevisionPush = new RevisionPush(self, mPeers);
        mSnapshots = new SnapshotExchange(self.sender(), new SnapshotOutput());
        mCompaction = new CompactionSchedule(random);
        mElection = new WatcherElection(random, now);
        mStart = new StartQuery(now);
        mNextDigestNanos = now + random.nextLong(DIGEST_INTERVAL_NANOS);
        mPulledNanos = now - PULL_INTERVAL_NANOS;
        mWatcherHeardNanos = now;
        mLog.resetTo(current.get().revision());
    }

    /**
     * Performs the periodic work. Must be called every {@link #TICK_INTERVAL}.
     *
     * @return actions to carry out, in order
     */
    public List<SpreadAction> tick() {
        long now = begin();
        mPeers.tick(now);
        queryAtStart(now);
        catchUpWithHolder();
        sendDigest(now);
        send(mNeighbors.due(mPeers.neighbors(), now), digest(true));
        mSnapshots.tick(now);
        if (mElection.isWatching(now)) {
            mWatcherHeardNanos = now;
            if (mCompaction.isDue(mLog.revision(), now)) {
                mActions.add(new SpreadAction.Compact());
            }
        }
        mElection.tick(mStart.isDone() && isCandidate(now), now, mActions);
        return end();
    }

    /**
     * Replaces the set of known nodes.
     *
     * @param fleet all nodes that the membership protocol currently knows
     * @return actions to carry out, in order
     */
    public List<SpreadAction> updateFleet(FleetSnapshot fleet) {
        mPeers.update(fleet, begin());
        return end();
    }

    /**
     * Handles a change that was applied at this node, whether it came from the store, from a peer
     * or from a submission at this node. A change that is already known is ignored.
     *
     * @param change the applied change
     * @return actions to carry out, in order
     */
    public List<SpreadAction> applied(ConfigurationChange change) {
        begin();
        if (change.revision() > mLog.revision()) {
            mWaiting.add(new WaitingChanges.Entry(LOCAL, change, mSelf.origin()));
            applyWaiting();
        }
        return end();
    }

    /**
     * Handles a snapshot that was applied at this node. A snapshot whose revision is not higher
     * than the known one is ignored.
     *
     * @param configuration configuration of the snapshot
     * @return actions to carry out, in order
     */
    public List<SpreadAction> applied(Configuration configuration) {
        begin();
        if (configuration.revision() > mLog.revision()) {
            mLog.resetTo(configuration.revision());
            applyWaiting();
        }
        return end();
    }

    /**
     * Handles the failure of {@link SpreadAction.ApplyChange} or {@link
     * SpreadAction.ApplySnapshot}. All waiting changes are dropped.
     *
     * @param peer name of the node that sent the change or snapshot
     * @param reason why it cannot be applied
     * @return actions to carry out, in order
     */
    public List<SpreadAction> refused(String peer, String reason) {
        begin();
        mLog.resetTo(mCurrent.get().revision());
        mWaiting.clear();
        refuse(peer, reason);
        return end();
    }

    /**
     * Handles a message that cannot be decoded.
     *
     * @param peer name of the node that sent the message
     * @param reason position, field, value read and allowed values
     * @return actions to carry out, in order
     */
    public List<SpreadAction> malformed(String peer, String reason) {
        begin();
        refuse(peer, reason);
        return end();
    }

    /**
     * Handles a message of a peer. A message of this node itself is ignored.
     *
     * @param message decoded message
     * @return actions to carry out, in order
     */
    public List<SpreadAction> receive(SpreadMessage message) {
        long now = begin();
        if (message.sender().node().equals(mSelf.node())) {
            return end();
        }
        switch (message) {
            case SpreadMessage.Digest digest -> receiveDigest(digest, now);
            case SpreadMessage.Changes changes -> receiveChanges(changes, now);
            case SpreadMessage.ChangesRequest request -> sendChanges(request);
            case SpreadMessage.SnapshotRequest request ->
                    mSnapshots.serve(request, mCurrent.get(), mLog.firstHeld(), now);
            case SpreadMessage.SnapshotPart part -> mSnapshots.receive(part, mLog.revision(), now);
        }
        return end();
    }

    /**
     * Handles the result of {@link SpreadAction.ListSlots}.
     *
     * @param taken key version of each taken slot by slot number, or empty when the store did not
     *     respond
     * @return actions to carry out, in order
     */
    public List<SpreadAction> slotsListed(Optional<Map<Integer, Long>> taken) {
        long now = begin();
        mElection.slotsListed(taken, isUnwatched(now), now, mActions);
        return end();
    }

    /**
     * Handles the result of {@link SpreadAction.ClaimSlot}.
     *
     * @param slot number of the slot
     * @param claim result of the claim
     * @return actions to carry out, in order
     */
    public List<SpreadAction> slotClaimed(int slot, WatcherSlots.Claim claim) {
        mElection.slotClaimed(slot, claim, begin(), mActions);
        return end();
    }

    /**
     * Handles the result of {@link SpreadAction.RenewLease}.
     *
     * @param lease id of the lease; the result for a lease that is not held any more is ignored
     * @param renewal result of the renewal
     * @return actions to carry out, in order
     */
    public List<SpreadAction> leaseRenewed(long lease, WatcherSlots.Renewal renewal) {
        mElection.leaseRenewed(lease, renewal, begin(), mActions);
        return end();
    }

    /**
     * Returns the state that operators see.
     *
     * @return state at the time of the call
     */
    public SpreadStatus status() {
        return new SpreadStatus(
                mLog.revision(),
                mElection.isWatching(mClock.nanoTime()),
                mWaiting.count(),
                mSnapshots.downloadingRevision(),
                mChecks.refusals(),
                mChecks.lastRefusal());
    }

    /**
     * Checks the lease before any input is handled, since it can have expired while the process was
     * paused. Returns the current time.
     */
    private long begin() {
        long now = mClock.nanoTime();
        mElection.checkLease(now, mActions);
        return now;
    }

    private List<SpreadAction> end() {
        mRevisionPush.flush(this::changeIdOf, digest(false), this::send);
        List<SpreadAction> actions = mActions;
        mActions = new ArrayList<>();
        return actions;
    }

    private void queryAtStart(long now) {
        if (mStart.isDone()) {
            return;
        }
        int wanted = mPeers.isAlone() ? 0 : mStart.peersToAsk(now);
        if (wanted > 0) {
            List<String> contacts = mPeers.startContacts(wanted);
            mStart.recordAsked(contacts.size());
            send(contacts, digest(true));
        }
        finishStart(now);
    }

    private void finishStart(long now) {
        if (mStart.finishIfDue(now)) {
            mStart.highest().ifPresent(digest -> catchUpWith(digest, now));
        }
    }

    /**
     * Continues at the revision in force when the log has been behind for too long. This happens
     * when a change was dropped because too many changes were waiting.
     */
    private void catchUpWithHolder() {
        long inForce = mCurrent.get().revision();
        mLagTicks = inForce > mLog.revision() ? mLagTicks + 1 : 0;
        if (mLagTicks > MAXIMUM_LAG_TICKS) {
            mLog.resetTo(inForce);
            applyWaiting();
        }
    }

    private void sendDigest(long now) {
        if (now - mNextDigestNanos >= 0) {
            // Digests that were missed while the process was paused are not sent late.
            mNextDigestNanos = now + DIGEST_INTERVAL_NANOS;
            mPeers.digestPartner().ifPresent(address -> send(List.of(address), digest(true)));
        }
    }

    /**
     * Returns whether this node may claim a slot. In a zone without a watcher, nodes that are not
     * candidates may claim with a low probability per tick. This limits the load on the store when
     * no node of the zone can reach it.
     */
    private boolean isCandidate(long now) {
        return mPeers.isCandidate()
                || isUnwatched(now)
                        && mRandom.nextInt(mPeers.zoneSize() * WatcherElection.SLOTS) == 0;
    }

    private boolean isUnwatched(long now) {
        return now - mWatcherHeardNanos > UNWATCHED_TIMEOUT_NANOS;
    }

    private void receiveDigest(SpreadMessage.Digest digest, long now) {
        mNeighbors.confirm(digest.sender().node(), digest.revision());
        if (mPeers.isInOwnZone(digest.sender().node())) {
            long heard = now - digest.watcherAgeMillis() * NANOS_PER_MILLI;
            mWatcherHeardNanos = Math.max(mWatcherHeardNanos, heard);
        }
        if (digest.replyWanted()) {
            reply(digest);
        }
        if (mStart.isDone()) {
            catchUpWith(digest, now);
        } else {
            mStart.recordReply(digest);
            finishStart(now);
        }
    }

    /**
     * Responds with the missing changes when the peer is behind and the log still has them, and
     * with a digest otherwise. A peer at revision 0 has just started and gets a digest.
     */
    private void reply(SpreadMessage.Digest digest) {
        if (digest.revision() > 0 && mLog.holdsAfter(digest.revision())) {
            sendChanges(
                    new SpreadMessage.ChangesRequest(
                            digest.sender(), digest.revision(), digest.headId()));
        } else {
            send(digest.sender(), digest(false));
        }
    }

    private void catchUpWith(SpreadMessage.Digest digest, long now) {
        if (digest.revision() <= mLog.revision()) {
            requireSameHistory(digest.sender().node(), digest.revision(), digest.headId());
        } else if (mLog.revision() >= digest.firstHeld() - 1) {
            pull(digest.sender(), now);
        } else {
            mSnapshots.download(digest.sender(), digest.firstHeld() - 1, now);
        }
    }

    private void pull(SpreadMessage.Sender peer, long now) {
        if (now - mPulledNanos >= PULL_INTERVAL_NANOS) {
            mPulledNanos = now;
            send(
                    peer,
                    new SpreadMessage.ChangesRequest(
                            mSelf.sender(), mLog.revision(), changeIdOf(mLog.revision())));
        }
    }

    private void receiveChanges(SpreadMessage.Changes message, long now) {
        String peer = message.sender().node();
        mNeighbors.confirm(peer, message.revision());
        SpreadMessage.Origin origin = message.repair() ? RevisionPush.NO_ORIGIN : message.origin();
        UUID baseId = message.baseId();
        try {
            for (byte[] encoded : message.changes()) {
                ConfigurationChange change = ConfigurationChangeCodec.decode(encoded);
                if (!requireSameHistory(peer, change.baseRevision(), baseId)) {
                    return;
                }
                baseId = change.changeId();
                accept(peer, change, origin);
            }
        } catch (MalformedConfigurationException malformed) {
            refuse(peer, malformed.getMessage());
            return;
        }
        if (message.repair()) {
            mPulledNanos = now - PULL_INTERVAL_NANOS;
        }
        if (mLog.revision() < message.revision()) {
            pull(message.sender(), now);
        }
    }

    private void accept(String peer, ConfigurationChange change, SpreadMessage.Origin origin) {
        if (change.revision() <= mLog.revision()) {
            requireSameHistory(peer, change.revision(), change.changeId());
            return;
        }
        mWaiting.add(new WaitingChanges.Entry(peer, change, origin));
        applyWaiting();
    }

    private void applyWaiting() {
        long before = mLog.revision();
        WaitingChanges.Entry entry = mWaiting.take(mLog.revision() + 1);
        while (entry != null) {
            ConfigurationChange change = entry.change();
            byte[] encoded = mLog.append(change);
            if (!entry.peer().equals(LOCAL)) {
                mActions.add(new SpreadAction.ApplyChange(entry.peer(), change));
            }
            mRevisionPush.add(change.revision(), encoded, entry.origin(), entry.peer());
            entry = mWaiting.take(mLog.revision() + 1);
        }
        if (mLog.revision() > before) {
            mNeighbors.check(mLog.revision(), mClock.nanoTime());
        }
    }

    private void sendChanges(SpreadMessage.ChangesRequest request) {
        if (!requireSameHistory(request.sender().node(), request.after(), request.headId())) {
            return;
        }
        if (mLog.holdsAfter(request.after())) {
            send(
                    request.sender(),
                    new SpreadMessage.Changes(
                            mSelf.sender(),
                            mLog.revision(),
                            changeIdOf(request.after()),
                            RevisionPush.NO_ORIGIN,
                            true,
                            mLog.changesAfter(request.after())));
        } else if (request.after() < mLog.revision()) {
            send(request.sender(), digest(false));
        }
    }

    private boolean requireSameHistory(String peer, long revision, UUID received) {
        return mChecks.requireSameHistory(peer, revision, received, changeIdOf(revision), mActions);
    }

    private void refuse(String peer, String reason) {
        mChecks.refuse(peer, reason, mActions);
    }

    private UUID changeIdOf(long revision) {
        return mCurrent.get().changeIdOf(revision).orElse(SpreadMessage.NO_ID);
    }

    private SpreadMessage.Digest digest(boolean replyWanted) {
        long age = Math.max(0, mClock.nanoTime() - mWatcherHeardNanos) / NANOS_PER_MILLI;
        return new SpreadMessage.Digest(
                mSelf.sender(),
                mLog.revision(),
                changeIdOf(mLog.revision()),
                mLog.firstHeld(),
                age,
                replyWanted);
    }

    private void send(SpreadMessage.Sender peer, SpreadMessage message) {
        send(List.of(peer.address()), message);
    }

    private void send(List<String> addresses, SpreadMessage message) {
        if (addresses.isEmpty()) {
            return;
        }
        byte[] payload = SpreadMessageCodec.encode(message);
        addresses.forEach(address -> mActions.add(new SpreadAction.Send(address, payload)));
    }

    private final class SnapshotOutput implements SnapshotExchange.Output {
        @Override
        public void send(SpreadMessage.Sender peer, SpreadMessage message) {
            ConfigurationSpread.this.send(peer, message);
        }

        @Override
        public void refuse(String peer, String reason) {
            ConfigurationSpread.this.refuse(peer, reason);
        }

        @Override
        public void apply(String peer, Configuration configuration) {
            mActions.add(new SpreadAction.ApplySnapshot(peer, configuration));
        }
    }
}
