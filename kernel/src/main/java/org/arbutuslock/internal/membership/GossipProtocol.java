package org.arbutuslock.internal.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.Clock;

/**
 * SWIM-style membership protocol of one node. Has no sockets and no threads: it returns the actions
 * that the calling code executes in order. Not thread-safe; calls must not overlap.
 *
 * <pre>{@code
 * GossipProtocol protocol = new GossipProtocol(ownRecord, seeds, settings, clock, random);
 * for (GossipAction action : protocol.tick()) { ... }
 * }</pre>
 */
public final class GossipProtocol {
    /** Interval at which {@link #tick()} must be called. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(200);

    // A gap between calls that counts as a pause of the process. Longer than a garbage collection
    // or a busy event loop, shorter than the time that failure detection takes.
    private static final long PAUSE_THRESHOLD_NANOS = Duration.ofMillis(1_500).toNanos();

    // Time without any received message after which this node announces itself again.
    private static final long ISOLATION_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

    // Repairs of up to this many updates are pushed on even when they are about unknown nodes.
    private static final int MAXIMUM_SMALL_REPAIR_UPDATES = 8;

    // A push reaches 94% of a zone. Repeating the draining record makes sure that all nodes get it
    // without waiting for anti-entropy.
    private static final List<Duration> DRAIN_REPEAT_DELAYS =
            List.of(Duration.ofMillis(400), Duration.ofMillis(900), Duration.ofMillis(1_500));

    // Announced every second by every node, records of 100 bytes would exceed 14 KB/s at 140 nodes.
    private static final long REVISION_INTERVAL_NANOS_PER_NODE = Duration.ofSeconds(1).toNanos();

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
    private final Deque<Long> mDrainRepeatNanos = new ArrayDeque<>();
    private boolean mStarted;
    private boolean mLeft;
    private long mLastTickNanos;
    private long mLastReceivedNanos;
    private long mRevisionAnnouncedNanos;

    /**
     * Creates a protocol that knows only its own node.
     *
     * @param local first record of this node
     * @param seeds addresses of nodes to contact first; the own address is ignored
     * @param settings parameters of the protocol
     * @param clock source of monotonic time
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
        mRevisionAnnouncedNanos = now;
    }

    /**
     * Contacts a node that was discovered by other means, and keeps it as a seed.
     *
     * @param address address of the node for connections between nodes
     * @return actions in order; empty after {@link #leave()} and for the own address
     */
    public List<GossipAction> contact(String address) {
        if (mLeft || address.equals(mSelf.record().peerAddress())) {
            return List.of();
        }
        mAntiEntropy.addSeed(address);
        mAntiEntropy.sendDigest(address);
        return mOutbox.pollAll();
    }

    /**
     * Runs all periodic work that is due. Must be called every {@link #TICK_INTERVAL}.
     *
     * @return actions in order; empty after {@link #leave()}
     */
    public List<GossipAction> tick() {
        if (mLeft) {
            return List.of();
        }
        long now = mClock.nanoTime();
        detectPause(now);
        mLastTickNanos = now;
        if (!mStarted) {
            start();
        }
        repeatDrainAnnouncement(now);
        if (mTable.live().size() > 1 && now - mLastReceivedNanos > ISOLATION_TIMEOUT_NANOS) {
            // Other nodes may suspect this node while no messages arrive here, so it announces
            // itself without having received a suspicion.
            mLastReceivedNanos = now;
            announce(mSelf.record());
        }
        for (MembershipUpdate update : mDetector.tick(now)) {
            if (apply(update, true, now)) {
                disseminate(update, false);
            }
        }
        mTable.purgeTombstones(now, mSettings.tombstoneLifetime().toNanos());
        mAntiEntropy.tick(now);
        return finish();
    }

    /**
     * Handles a message of another node.
     *
     * @param message message decoded with {@link GossipMessageCodec}
     * @return actions in order; empty after {@link #leave()}
     */
    public List<GossipAction> receive(GossipMessage message) {
        if (mLeft) {
            // A relay may send this node's own tombstone back, which must not be refuted.
            return List.of();
        }
        long now = mClock.nanoTime();
        detectPause(now);
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
        handleSender(message.sender(), now);
        return finish();
    }

    /**
     * Announces changed endpoints of this node at once. When only the revision changed, the time
     * between announcements is at least one second for each known node, because a change of the
     * configuration reaches all nodes at about the same time.
     *
     * @param endpoints all endpoints of this node
     * @param revision revision of the configuration in force
     * @return actions in order; empty after {@link #leave()}
     * @throws IllegalArgumentException when the record exceeds half of {@link
     *     GossipMessageCodec#MAXIMUM_MESSAGE_BYTES}
     */
    public List<GossipAction> update(List<EndpointRecord> endpoints, long revision) {
        if (mLeft) {
            return List.of();
        }
        long now = mClock.nanoTime();
        detectPause(now);
        NodeRecord own = mSelf.record();
        List<EndpointRecord> sorted =
                endpoints.stream().sorted(Comparator.comparing(EndpointRecord::id)).toList();
        boolean due =
                now - mRevisionAnnouncedNanos
                        >= REVISION_INTERVAL_NANOS_PER_NODE * mTable.live().size();
        if (!sorted.equals(own.endpoints()) || own.configurationRevision() != revision && due) {
            mRevisionAnnouncedNanos = now;
            NodeRecord changed = own.with(sorted, revision, own.draining());
            checkSize(changed);
            announce(changed);
        }
        return finish();
    }

    /**
     * Announces that this node is draining before its shutdown. Later calls have no effect.
     *
     * @return actions in order; empty after {@link #leave()}
     */
    public List<GossipAction> drain() {
        if (mLeft) {
            return List.of();
        }
        long now = mClock.nanoTime();
        detectPause(now);
        NodeRecord own = mSelf.record();
        if (!own.draining()) {
            announce(own.with(own.endpoints(), own.configurationRevision(), true));
            DRAIN_REPEAT_DELAYS.forEach(delay -> mDrainRepeatNanos.add(now + delay.toNanos()));
        }
        return finish();
    }

    /**
     * Announces that this node has left. All later calls of the protocol have no effect.
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
     * @return the newest record of this node
     */
    public NodeRecord localRecord() {
        return mSelf.record();
    }

    private List<GossipAction> finish() {
        mUpdates.flush();
        return mOutbox.pollAll();
    }

    private void start() {
        mStarted = true;
        mOutbox.add(new GossipAction.Joined(mSelf.record()));
        for (String seed : mSeeds) {
            mOutbox.sendUpdates(seed, false, List.of(mSelf.update()));
            mAntiEntropy.sendDigest(seed);
        }
    }

    private void detectPause(long now) {
        long gap = now - mLastTickNanos;
        if (mStarted && gap > PAUSE_THRESHOLD_NANOS) {
            mLastTickNanos = now;
            mLastReceivedNanos = now;
            mOutbox.add(new GossipAction.Resumed(Duration.ofNanos(gap)));
            mDetector.resume(now);
            announce(mSelf.record());
        }
    }

    private void repeatDrainAnnouncement(long now) {
        if (!mDrainRepeatNanos.isEmpty() && now - mDrainRepeatNanos.peek() >= 0) {
            mDrainRepeatNanos.remove();
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
        mUpdates.add(mSelf.update(), record.region(), false);
    }

    private void handle(GossipMessage.Delta delta, long now) {
        MemberEntry sender = mTable.find(delta.sender().node());
        boolean fromZone =
                sender != null
                        && sender.isLive()
                        && mPeers.isOfOwnRegion(sender)
                        && !mPeers.isOfOwnZone(sender);
        boolean small = delta.updates().size() <= MAXIMUM_SMALL_REPAIR_UPDATES;
        for (MembershipUpdate update : delta.updates()) {
            // A joining node receives the whole fleet in repairs. The other nodes know these
            // records, so pushing them on would only cost bandwidth.
            boolean disseminate = !delta.repair() || small || mTable.find(update.node()) != null;
            if (apply(update, false, now) && disseminate) {
                disseminate(update, fromZone);
            }
        }
    }

    private void disseminate(MembershipUpdate update, boolean fromZone) {
        MemberEntry subject = mTable.find(update.node());
        if (subject != null) {
            mUpdates.add(update, regionOf(subject), fromZone);
        }
    }

    /**
     * Applies an update and tells whether it must be pushed on. An update about this node is never
     * applied; it is refuted if it is wrong.
     */
    private boolean apply(MembershipUpdate update, boolean detectedHere, long now) {
        MemberEntry entry = mTable.find(update.node());
        if (entry == mSelf) {
            refute(update);
            return false;
        }
        return switch (update) {
            case MembershipUpdate.Present(NodeRecord record) -> applyRecord(record, entry);
            case MembershipUpdate.Departed(Tombstone tombstone) ->
                    applyTombstone(tombstone, entry, now);
            case MembershipUpdate.Suspected suspected ->
                    applySuspicion(suspected, entry, detectedHere, now);
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

    private boolean applyTombstone(Tombstone tombstone, MemberEntry entry, long now) {
        if (entry == null) {
            mTable.putTombstone(tombstone, now);
            return true;
        }
        int order = entry.compareTo(tombstone.incarnation(), tombstone.version());
        if (order < 0 || order == 0 && !entry.isLive()) {
            return false;
        }
        if (entry.isLive()) {
            mOutbox.add(new GossipAction.Left(entry.record()));
        }
        mTable.putTombstone(tombstone, now);
        return true;
    }

    private boolean applySuspicion(
            MembershipUpdate.Suspected suspected,
            MemberEntry entry,
            boolean detectedHere,
            long now) {
        if (entry == null
                || !entry.isLive()
                || entry.isSuspected()
                || entry.compareTo(suspected.incarnation(), suspected.version()) < 0) {
            return false;
        }
        entry.markSuspected(now);
        mDetector.startSuspicion(entry, detectedHere, now);
        mOutbox.add(new GossipAction.Suspected(entry.record()));
        notifySuspect(entry, entry.record().peerAddress());
        return true;
    }

    private void refute(MembershipUpdate update) {
        boolean own = update.incarnation() == mSelf.incarnation();
        boolean current = update.version() >= mSelf.version();
        boolean repeated =
                update instanceof MembershipUpdate.Present && update.version() == mSelf.version();
        if (own && current && !repeated) {
            announceAbove(mSelf.record(), update.version());
        }
    }

    /**
     * Records that the sender is alive. If the sender is believed dead or suspected, tells it so,
     * so that it refutes.
     */
    private void handleSender(GossipMessage.Sender sender, long now) {
        MemberEntry entry = mTable.find(sender.node());
        if (entry == null || entry == mSelf) {
            return;
        }
        entry.recordContact(now);
        if (!entry.isLive()) {
            mOutbox.sendUpdates(sender.address(), false, List.of(entry.update()));
        } else if (entry.isSuspected()) {
            notifySuspect(entry, sender.address());
        }
    }

    private void notifySuspect(MemberEntry entry, String address) {
        MembershipUpdate suspected =
                new MembershipUpdate.Suspected(entry.node(), entry.incarnation(), entry.version());
        mOutbox.sendUpdates(address, false, List.of(suspected));
    }

    private static String regionOf(MemberEntry entry) {
        return entry.isLive() ? entry.record().region() : entry.tombstone().region();
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
