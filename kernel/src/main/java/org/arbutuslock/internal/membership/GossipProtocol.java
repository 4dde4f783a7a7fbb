package org.arbutuslock.internal.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;

/**
 * Decides what a node tells others about nodes and what it believes. Has no sockets and no threads;
 * calls must not overlap.
 *
 * <pre>{@code
 * GossipProtocol protocol = new GossipProtocol(ownRecord, seeds, settings, clock, random);
 * for (GossipAction action : protocol.tick()) { ... }
 * }</pre>
 */
public final class GossipProtocol {
    /** Time between two calls of {@link #tick()}. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    // Longer than a collection of garbage or a busy event loop, shorter than detection.
    private static final long PAUSE_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final long ISOLATION_NANOS = Duration.ofSeconds(3).toNanos();
    private static final int SMALL_REPAIR = 8;

    // A push reaches 94% of a zone; the repeats make a drain notice independent of repairs.
    private static final List<Duration> DRAIN_REPEATS =
            List.of(Duration.ofMillis(400), Duration.ofMillis(900), Duration.ofMillis(1_500));

    // A record of 100 bytes per node and second for all nodes would exceed 14 KB/s at 140 nodes.
    private static final long REVISION_NANOS_PER_NODE = Duration.ofSeconds(1).toNanos();

    private final List<String> mSeeds;
    private final GossipSettings mSettings;
    private final Clock mClock;
    private final MembershipTable mTable = new MembershipTable();
    private final MemberEntry mSelf;
    private final Outbox mOutbox;
    private final PeerSelection mPeers;
    private final FailureDetector mDetector;
    private final AntiEntropy mAntiEntropy;
    private final UpdateDissemination mUpdates;
    private final Deque<Long> mDrainRepeats = new ArrayDeque<>();
    private boolean mStarted;
    private boolean mLeft;
    private long mLastTickNanos;
    private long mLastReceivedNanos;
    private long mRevisionNanos;

    /**
     * Creates a protocol that knows only its own node.
     *
     * @param local first record of this node
     * @param seeds addresses of nodes to contact first
     * @param settings parameters
     * @param clock time of the protocol
     * @param random source of all random choices
     */
    public GossipProtocol(
            NodeRecord local,
            List<String> seeds,
            GossipSettings settings,
            Clock clock,
            RandomGenerator random) {
        mSeeds = seeds.stream().filter(seed -> !seed.equals(local.peerAddress())).toList();
        mSettings = settings;
        mClock = clock;
        mSelf = mTable.put(local);
        mOutbox = new Outbox(new GossipMessage.Sender(local.node(), local.peerAddress()));
        mPeers = new PeerSelection(mTable, mSelf, random);
        long now = clock.nanoTime();
        mDetector = new FailureDetector(settings, mPeers, random, mOutbox, now);
        mAntiEntropy = new AntiEntropy(mTable, mPeers, mSeeds, random, mOutbox, clock);
        mUpdates = new UpdateDissemination(settings, mTable, mSelf, mPeers, mOutbox, clock);
        mLastTickNanos = now;
        mLastReceivedNanos = now;
        mRevisionNanos = now;
    }

    /**
     * Contacts a node that was found outside of the protocol.
     *
     * @param address address of the node for sessions
     * @return what to send
     */
    public List<GossipAction> contact(String address) {
        if (mLeft || address.equals(mSelf.record().peerAddress())) {
            return List.of();
        }
        mAntiEntropy.addSeed(address);
        mAntiEntropy.sendDigest(address);
        return mOutbox.take();
    }

    /**
     * Does what is due. Call it every {@link #TICK_INTERVAL}.
     *
     * @return actions in order
     */
    public List<GossipAction> tick() {
        if (mLeft) {
            return List.of();
        }
        long now = mClock.nanoTime();
        noticePause(now);
        mLastTickNanos = now;
        if (!mStarted) {
            start();
        }
        repeatDrain(now);
        if (mTable.live().size() > 1 && now - mLastReceivedNanos > ISOLATION_NANOS) {
            // Others may suspect this node although it hears nobody: it refutes unasked.
            mLastReceivedNanos = now;
            announce(mSelf.record());
        }
        for (MembershipUpdate found : mDetector.tick(now)) {
            if (apply(found, true, now)) {
                spread(found, false);
            }
        }
        mTable.purge(now, mSettings.tombstoneLifetime().toNanos());
        mAntiEntropy.tick(now);
        return finish();
    }

    /**
     * Handles a message of another node.
     *
     * @param message message decoded with {@link GossipMessageCodec}
     * @return actions in order
     */
    public List<GossipAction> receive(GossipMessage message) {
        if (mLeft) {
            // A relay may send the node's own tombstone back; it must not refute it.
            return List.of();
        }
        long now = mClock.nanoTime();
        noticePause(now);
        mLastReceivedNanos = now;
        switch (message) {
            case GossipMessage.Heartbeat heartbeat -> mDetector.handle(heartbeat);
            case GossipMessage.HeartbeatReply reply -> mDetector.handle(reply, now);
            case GossipMessage.IndirectHeartbeat indirect -> mDetector.handle(indirect, now);
            case GossipMessage.Delta delta -> handle(delta, now);
            case GossipMessage.Digest digest -> mAntiEntropy.handle(digest);
            case GossipMessage.BucketDigest digest -> mAntiEntropy.handle(digest);
            case GossipMessage.PartStamps stamps -> mAntiEntropy.handle(stamps);
            case GossipMessage.UpdateRequest request -> mAntiEntropy.handle(request);
        }
        noteSender(message.sender(), now);
        return finish();
    }

    /**
     * Announces a change of this node at once. A new revision alone is announced at most once per
     * second and known node, since every configuration change reaches every node.
     *
     * @param endpoints all endpoints of this node
     * @param revision revision of the configuration in force
     * @return actions in order
     */
    public List<GossipAction> update(List<EndpointRecord> endpoints, long revision) {
        if (mLeft) {
            return List.of();
        }
        long now = mClock.nanoTime();
        noticePause(now);
        NodeRecord own = mSelf.record();
        List<EndpointRecord> sorted =
                endpoints.stream().sorted(Comparator.comparing(EndpointRecord::id)).toList();
        boolean due = now - mRevisionNanos >= REVISION_NANOS_PER_NODE * mTable.live().size();
        if (!sorted.equals(own.endpoints()) || own.configurationRevision() != revision && due) {
            mRevisionNanos = now;
            NodeRecord changed = own.with(sorted, revision, own.draining());
            checkSize(changed);
            announce(changed);
        }
        return finish();
    }

    /**
     * Announces that this node shuts down.
     *
     * @return actions in order
     */
    public List<GossipAction> drain() {
        if (mLeft) {
            return List.of();
        }
        long now = mClock.nanoTime();
        noticePause(now);
        NodeRecord own = mSelf.record();
        if (!own.draining()) {
            announce(own.with(own.endpoints(), own.configurationRevision(), true));
            DRAIN_REPEATS.forEach(delay -> mDrainRepeats.add(now + delay.toNanos()));
        }
        return finish();
    }

    /**
     * Tells others that this node is gone. All later calls do nothing.
     *
     * @return actions in order
     */
    public List<GossipAction> leave() {
        NodeRecord own = mSelf.record();
        mUpdates.add(new MembershipUpdate.Departed(Tombstone.of(own)), own.region(), false);
        List<GossipAction> actions = finish();
        mLeft = true;
        return actions;
    }

    /**
     * Returns this node's record.
     *
     * @return newest record
     */
    public NodeRecord localRecord() {
        return mSelf.record();
    }

    private List<GossipAction> finish() {
        mUpdates.flush();
        return mOutbox.take();
    }

    private void start() {
        mStarted = true;
        mOutbox.add(new GossipAction.Joined(mSelf.record()));
        for (String seed : mSeeds) {
            mOutbox.sendStatements(seed, false, List.of(mSelf.statement()));
            mAntiEntropy.sendDigest(seed);
        }
    }

    private void noticePause(long now) {
        long gap = now - mLastTickNanos;
        if (mStarted && gap > PAUSE_NANOS) {
            mLastTickNanos = now;
            mLastReceivedNanos = now;
            mOutbox.add(new GossipAction.Resumed(Duration.ofNanos(gap)));
            mDetector.resume(now);
            announce(mSelf.record());
        }
    }

    private void repeatDrain(long now) {
        if (!mDrainRepeats.isEmpty() && now - mDrainRepeats.peek() >= 0) {
            mDrainRepeats.remove();
            announce(mSelf.record());
        }
    }

    private void announce(NodeRecord content) {
        announceAbove(content, mSelf.version());
    }

    private void announceAbove(NodeRecord content, long version) {
        NodeRecord record = content.withVersion(Math.max(version, mSelf.version()) + 1);
        mTable.put(record);
        mOutbox.add(new GossipAction.Changed(record));
        mUpdates.add(mSelf.statement(), record.region(), false);
    }

    private void handle(GossipMessage.Delta delta, long now) {
        MemberEntry sender = mTable.find(delta.sender().node());
        boolean fromZone =
                sender != null
                        && sender.isLive()
                        && mPeers.isOfOwnRegion(sender)
                        && !mPeers.isOfOwnZone(sender);
        boolean small = delta.updates().size() <= SMALL_REPAIR;
        for (MembershipUpdate statement : delta.updates()) {
            // A joining node learns the whole fleet from repairs; none of it is update to others.
            boolean spread = !delta.repair() || small || mTable.find(statement.node()) != null;
            if (apply(statement, false, now) && spread) {
                spread(statement, fromZone);
            }
        }
    }

    private void spread(MembershipUpdate statement, boolean fromZone) {
        MemberEntry subject = mTable.find(statement.node());
        if (subject != null) {
            mUpdates.add(statement, regionOf(subject), fromZone);
        }
    }

    /** Applies a statement and tells whether it is update. */
    private boolean apply(MembershipUpdate statement, boolean foundHere, long now) {
        MemberEntry entry = mTable.find(statement.node());
        if (entry == mSelf) {
            refute(statement);
            return false;
        }
        return switch (statement) {
            case MembershipUpdate.Present(NodeRecord record) -> applyRecord(record, entry);
            case MembershipUpdate.Departed(Tombstone departure) ->
                    applyDeparture(departure, entry, now);
            case MembershipUpdate.Suspected suspected ->
                    applySuspicion(suspected, entry, foundHere, now);
        };
    }

    private boolean applyRecord(NodeRecord record, MemberEntry entry) {
        if (entry != null && entry.compareTo(record.incarnation(), record.version()) <= 0) {
            return false;
        }
        boolean joined = entry == null || !entry.isLive();
        if (mTable.put(record) == null) {
            return false;
        }
        mOutbox.add(joined ? new GossipAction.Joined(record) : new GossipAction.Changed(record));
        return true;
    }

    private boolean applyDeparture(Tombstone departure, MemberEntry entry, long now) {
        if (entry == null) {
            mTable.bury(departure, now);
            return true;
        }
        int order = entry.compareTo(departure.incarnation(), departure.version());
        if (order < 0 || order == 0 && !entry.isLive()) {
            return false;
        }
        if (entry.isLive()) {
            mOutbox.add(new GossipAction.Left(entry.record()));
        }
        mTable.bury(departure, now);
        return true;
    }

    private boolean applySuspicion(
            MembershipUpdate.Suspected suspected, MemberEntry entry, boolean foundHere, long now) {
        if (entry == null
                || !entry.isLive()
                || entry.isSuspected()
                || entry.compareTo(suspected.incarnation(), suspected.version()) < 0) {
            return false;
        }
        entry.suspect(now);
        mDetector.watch(entry, foundHere, now);
        mOutbox.add(new GossipAction.Suspected(entry.record()));
        tellSuspect(entry, entry.record().peerAddress());
        return true;
    }

    private void refute(MembershipUpdate statement) {
        boolean own = statement.incarnation() == mSelf.incarnation();
        boolean current = statement.version() >= mSelf.version();
        boolean repeated =
                statement instanceof MembershipUpdate.Present
                        && statement.version() == mSelf.version();
        if (own && current && !repeated) {
            announceAbove(mSelf.record(), statement.version());
        }
    }

    /** Notes a sign of life, and tells a node that is believed dead or suspected to refute. */
    private void noteSender(GossipMessage.Sender sender, long now) {
        MemberEntry entry = mTable.find(sender.node());
        if (entry == null || entry == mSelf) {
            return;
        }
        entry.hear(now);
        if (!entry.isLive()) {
            mOutbox.sendStatements(sender.address(), false, List.of(entry.statement()));
        } else if (entry.isSuspected()) {
            tellSuspect(entry, sender.address());
        }
    }

    private void tellSuspect(MemberEntry entry, String address) {
        MembershipUpdate suspected =
                new MembershipUpdate.Suspected(entry.node(), entry.incarnation(), entry.version());
        mOutbox.sendStatements(address, false, List.of(suspected));
    }

    private static String regionOf(MemberEntry entry) {
        return entry.isLive() ? entry.record().region() : entry.departure().region();
    }

    private static void checkSize(NodeRecord record) {
        int bytes = new MembershipUpdate.Present(record).estimatedBytes();
        if (bytes > GossipMessageCodec.MAXIMUM_MESSAGE_BYTES / 2) {
            throw new IllegalArgumentException(
                    "record of node "
                            + record.node()
                            + (" has about " + bytes + " bytes, allowed ")
                            + GossipMessageCodec.MAXIMUM_MESSAGE_BYTES / 2
                            + "; use fewer endpoints on the host or shorter names");
        }
    }
}
