package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
 * Spreads configuration changes between the nodes of a fleet, of which a few watch the store. Takes
 * inputs and returns actions in order; not for use by several threads at once.
 *
 * <pre>{@code
 * ConfigurationSpread spread = new ConfigurationSpread(identity, holder::current, clock, random);
 * carryOut(spread.tick()); // every TICK_INTERVAL
 * carryOut(spread.receive(SpreadMessageCodec.decode(payload)));
 * }</pre>
 */
public final class ConfigurationSpread {
    /** Time between ticks. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Changes after which a watcher writes a snapshot; half an hour at 0.5 changes a second. */
    public static final long CHANGES_PER_SNAPSHOT = 1_000;

    private static final long DIGEST_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long PULL_NANOS = Duration.ofMillis(500).toNanos();

    /** Without a watcher in the zone for so long, nodes that are no candidates try, too. */
    private static final long UNWATCHED_NANOS = Duration.ofSeconds(30).toNanos();

    /** Spreads the snapshots of watchers, of which the first one makes the others needless. */
    private static final long COMPACTION_JITTER_NANOS = Duration.ofSeconds(120).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String LOCAL = "";

    /** Ticks after which the revision in force is taken over without its changes. */
    private static final int LATE_TICKS = 5;

    private final NodeIdentity mSelf;
    private final Supplier<Configuration> mCurrent;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final SpreadPeers mPeers;
    private final NewsPush mNews;
    private final RecentLog mLog = new RecentLog();
    private final WaitingChanges mWaiting = new WaitingChanges();
    private final SnapshotServer mServer = new SnapshotServer();
    private final WatcherElection mElection;
    private final StartQuery mStart;
    private List<SpreadAction> mActions = new ArrayList<>();
    private SnapshotDownload mDownload;
    private long mNextDigestNanos;
    private long mPulledNanos;
    private long mWatcherHeardNanos;
    private boolean mCompactionPlanned;
    private long mCompactAtNanos;
    private long mCompactedRevision;
    private int mLateTicks;
    private long mRefusals;
    private String mLastRefusal = "";

    /**
     * Creates the spread of a node that has just started.
     *
     * @param self name and place of the node
     * @param current returns the configuration in force
     * @param clock time of the node
     * @param random choices of peers and jitter
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
        mNews = new NewsPush(self, mPeers);
        mElection = new WatcherElection(random, now);
        mStart = new StartQuery(now);
        mNextDigestNanos = now + random.nextLong(DIGEST_NANOS);
        mPulledNanos = now - PULL_NANOS;
        mWatcherHeardNanos = now;
        mLog.resetTo(current.get().revision());
    }

    /**
     * Does what is due. Call every {@link #TICK_INTERVAL}.
     *
     * @return actions
     */
    public List<SpreadAction> tick() {
        long now = begin();
        mPeers.tick(now);
        mServer.tick(now);
        queryAtStart(now);
        followHolder();
        sendDigest(now);
        continueDownload(now);
        if (mElection.isWatching(now)) {
            mWatcherHeardNanos = now;
            planCompaction(now);
        }
        mElection.tick(mStart.isDone() && isCandidate(now), now, mActions);
        return end();
    }

    /**
     * Takes over another view of the fleet.
     *
     * @param fleet the view
     * @return actions
     */
    public List<SpreadAction> updateFleet(FleetSnapshot fleet) {
        mPeers.update(fleet, begin());
        return end();
    }

    /**
     * Handles a change that was applied here, from the store or by a submission.
     *
     * @param change the change
     * @return actions
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
     * Handles a snapshot that was applied here.
     *
     * @param configuration the snapshot
     * @return actions
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
     * Handles the refusal of a change or snapshot that an action named.
     *
     * @param peer node that sent it
     * @param reason why it cannot be applied
     * @return actions
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
     * @param peer node that sent it
     * @param reason position, field, value read and allowed values
     * @return actions
     */
    public List<SpreadAction> malformed(String peer, String reason) {
        begin();
        refuse(peer, reason);
        return end();
    }

    /**
     * Handles a message.
     *
     * @param message the message
     * @return actions
     */
    public List<SpreadAction> receive(SpreadMessage message) {
        long now = begin();
        if (message.sender().node().equals(mSelf.node())) {
            return end();
        }
        switch (message) {
            case SpreadMessage.Digest digest -> receiveDigest(digest, now);
            case SpreadMessage.Changes changes -> receiveChanges(changes, now);
            case SpreadMessage.ChangesRequest request -> sendChanges(request, now);
            case SpreadMessage.SnapshotRequest request -> sendParts(request, now);
            case SpreadMessage.SnapshotPart part -> receivePart(part, now);
        }
        return end();
    }

    /**
     * Handles the end of {@link SpreadAction.ListSlots}.
     *
     * @param taken slots that are taken, or empty when the store did not respond
     * @return actions
     */
    public List<SpreadAction> slotsListed(Optional<Set<Integer>> taken) {
        mElection.slotsListed(taken, begin(), mActions);
        return end();
    }

    /**
     * Handles the end of {@link SpreadAction.ClaimSlot}.
     *
     * @param slot number of the slot
     * @param claim outcome
     * @return actions
     */
    public List<SpreadAction> slotClaimed(int slot, WatcherSlots.Claim claim) {
        mElection.slotClaimed(slot, claim, begin(), mActions);
        return end();
    }

    /**
     * Handles the end of {@link SpreadAction.RenewLease}.
     *
     * @param lease number of the lease
     * @param renewal outcome
     * @return actions
     */
    public List<SpreadAction> leaseRenewed(long lease, WatcherSlots.Renewal renewal) {
        mElection.leaseRenewed(lease, renewal, begin(), mActions);
        return end();
    }

    /**
     * Returns the state for operators.
     *
     * @return state at this moment
     */
    public SpreadStatus status() {
        return new SpreadStatus(
                mLog.revision(),
                mElection.isWatching(mClock.nanoTime()),
                mWaiting.count(),
                mDownload == null ? 0 : mDownload.leastRevision(),
                mRefusals,
                mLastRefusal);
    }

    /** A lease can have lapsed during a pause, so that it is checked before anything else. */
    private long begin() {
        long now = mClock.nanoTime();
        mElection.checkLease(now, mActions);
        return now;
    }

    private List<SpreadAction> end() {
        mNews.flush(this::idOf, digest(false), this::send);
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
            List<String> contacts = mPeers.firstContacts(wanted);
            mStart.asked(contacts.size());
            send(contacts, digest(true));
        }
        finishStart(now);
    }

    private void finishStart(long now) {
        if (mStart.finishIfDue(now)) {
            mStart.highest().ifPresent(digest -> catchUpWith(digest, now));
        }
    }

    /** The holder can be ahead for good when a change was dropped from the waiting ones. */
    private void followHolder() {
        long inForce = mCurrent.get().revision();
        mLateTicks = inForce > mLog.revision() ? mLateTicks + 1 : 0;
        if (mLateTicks > LATE_TICKS) {
            mLog.resetTo(inForce);
            applyWaiting();
        }
    }

    private void sendDigest(long now) {
        if (now - mNextDigestNanos >= 0) {
            // A process that was paused does not make up for the digests that it missed.
            mNextDigestNanos = now + DIGEST_NANOS;
            mPeers.partner().ifPresent(address -> send(List.of(address), digest(true)));
        }
    }

    private void continueDownload(long now) {
        if (mDownload == null || !mDownload.isRequestDue(now)) {
            return;
        }
        if (mDownload.hasFailed()) {
            mDownload = null;
            return;
        }
        send(mDownload.peer(), mDownload.request(mSelf.sender(), now));
    }

    private void planCompaction(long now) {
        long changes = mLog.revision() - mCompactedRevision;
        if (!mCompactionPlanned && changes >= CHANGES_PER_SNAPSHOT) {
            mCompactionPlanned = true;
            mCompactAtNanos = now + mRandom.nextLong(COMPACTION_JITTER_NANOS);
        }
        if (mCompactionPlanned && now - mCompactAtNanos >= 0) {
            mCompactionPlanned = false;
            mCompactedRevision = mLog.revision();
            mActions.add(new SpreadAction.Compact());
        }
    }

    /** The chance keeps the store's load low when nobody in a zone can reach it. */
    private boolean isCandidate(long now) {
        return mPeers.isCandidate()
                || now - mWatcherHeardNanos > UNWATCHED_NANOS
                        && mRandom.nextInt(mPeers.zoneSize() * WatcherElection.SLOTS) == 0;
    }

    private void receiveDigest(SpreadMessage.Digest digest, long now) {
        if (mPeers.isOfOwnZone(digest.sender().node())) {
            long heard = now - digest.watcherAgeMillis() * NANOS_PER_MILLI;
            mWatcherHeardNanos = Math.max(mWatcherHeardNanos, heard);
        }
        if (digest.replyWanted()) {
            send(digest.sender(), digest(false));
        }
        if (mStart.isDone()) {
            catchUpWith(digest, now);
        } else {
            mStart.record(digest);
            finishStart(now);
        }
    }

    private void catchUpWith(SpreadMessage.Digest digest, long now) {
        if (digest.revision() <= mLog.revision()) {
            requireSameHistory(digest.sender().node(), digest.revision(), digest.headId());
        } else if (mLog.revision() >= digest.firstHeld() - 1) {
            pull(digest.sender(), now);
        } else if (mDownload == null) {
            mDownload = new SnapshotDownload(digest.sender(), digest.firstHeld() - 1);
            send(digest.sender(), mDownload.request(mSelf.sender(), now));
        }
    }

    private void pull(SpreadMessage.Sender peer, long now) {
        if (now - mPulledNanos >= PULL_NANOS) {
            mPulledNanos = now;
            send(
                    peer,
                    new SpreadMessage.ChangesRequest(
                            mSelf.sender(), mLog.revision(), idOf(mLog.revision())));
        }
    }

    private void receiveChanges(SpreadMessage.Changes message, long now) {
        String peer = message.sender().node();
        SpreadMessage.Origin origin = message.repair() ? NewsPush.NO_ORIGIN : message.origin();
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
            mPulledNanos = now - PULL_NANOS;
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
        WaitingChanges.Entry entry = mWaiting.take(mLog.revision() + 1);
        while (entry != null) {
            ConfigurationChange change = entry.change();
            byte[] encoded = mLog.append(change);
            if (!entry.peer().equals(LOCAL)) {
                mActions.add(new SpreadAction.ApplyChange(entry.peer(), change));
            }
            mNews.add(change.revision(), encoded, entry.origin(), entry.peer());
            entry = mWaiting.take(mLog.revision() + 1);
        }
    }

    private void sendChanges(SpreadMessage.ChangesRequest request, long now) {
        if (!requireSameHistory(request.sender().node(), request.after(), request.headId())) {
            return;
        }
        if (mLog.holdsAfter(request.after())) {
            send(
                    request.sender(),
                    new SpreadMessage.Changes(
                            mSelf.sender(),
                            mLog.revision(),
                            idOf(request.after()),
                            NewsPush.NO_ORIGIN,
                            true,
                            mLog.after(request.after())));
        } else if (request.after() < mLog.revision()) {
            send(request.sender(), digest(false));
        }
    }

    private void sendParts(SpreadMessage.SnapshotRequest request, long now) {
        Configuration current = mCurrent.get();
        if (current.revision() == 0) {
            return;
        }
        mServer.prepare(current, mLog.firstHeld(), now);
        for (int index = 0; index < request.count(); index++) {
            int part = request.part() + index;
            byte[] data = mServer.take(part);
            if (data == null) {
                return;
            }
            send(
                    request.sender(),
                    new SpreadMessage.SnapshotPart(
                            mSelf.sender(), mServer.revision(), part, mServer.parts(), data));
        }
    }

    private void receivePart(SpreadMessage.SnapshotPart part, long now) {
        if (mDownload == null || !mDownload.belongsTo(part)) {
            return;
        }
        if (part.revision() <= mLog.revision()) {
            mDownload = null;
            return;
        }
        String peer = part.sender().node();
        if (part.revision() < mDownload.leastRevision()) {
            refuse(
                    peer,
                    "snapshot of revision "
                            + part.revision()
                            + ", allowed: at least the announced revision "
                            + mDownload.leastRevision());
            mDownload = null;
            return;
        }
        addPart(part, peer, now);
    }

    private void addPart(SpreadMessage.SnapshotPart part, String peer, long now) {
        try {
            boolean windowComplete = mDownload.add(part);
            Optional<Configuration> complete = mDownload.complete();
            if (complete.isPresent()) {
                mDownload = null;
                mActions.add(new SpreadAction.ApplySnapshot(peer, complete.get()));
            } else if (windowComplete) {
                send(part.sender(), mDownload.request(mSelf.sender(), now));
            }
        } catch (MalformedConfigurationException malformed) {
            mDownload = null;
            refuse(peer, malformed.getMessage());
        }
    }

    /** Refuses what follows another change than the one that is in force here. */
    private boolean requireSameHistory(String peer, long revision, UUID received) {
        UUID expected = idOf(revision);
        if (expected.equals(SpreadMessage.NO_ID)
                || received.equals(SpreadMessage.NO_ID)
                || expected.equals(received)) {
            return true;
        }
        refuse(
                peer,
                "revision "
                        + revision
                        + " is change "
                        + received
                        + " there but change "
                        + expected
                        + " here; its store was probably restored from a backup");
        return false;
    }

    private void refuse(String peer, String reason) {
        mRefusals++;
        mLastRefusal = peer + ": " + reason;
        mActions.add(new SpreadAction.Refused(peer, reason));
    }

    private UUID idOf(long revision) {
        return mCurrent.get().changeIdOf(revision).orElse(SpreadMessage.NO_ID);
    }

    private SpreadMessage.Digest digest(boolean replyWanted) {
        long age = Math.max(0, mClock.nanoTime() - mWatcherHeardNanos) / NANOS_PER_MILLI;
        return new SpreadMessage.Digest(
                mSelf.sender(),
                mLog.revision(),
                idOf(mLog.revision()),
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
}
