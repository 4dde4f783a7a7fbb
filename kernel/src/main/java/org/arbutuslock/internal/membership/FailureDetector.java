package org.arbutuslock.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.ListIterator;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Failure detector after the SWIM protocol. Sends heartbeats to random nodes, mostly of the own
 * availability zone. When a node does not respond, other nodes are asked to send it a heartbeat. A
 * node that does not respond to them either is suspected, and declared dead when it does not refute
 * the suspicion in time.
 */
final class FailureDetector {
    private static final long HEARTBEAT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long DIRECT_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();
    private static final long INDIRECT_TIMEOUT_NANOS = Duration.ofMillis(1_500).toNanos();

    // Extra suspicion time for nodes of other zones, so that the suspect's own zone decides first.
    private static final long OTHER_ZONE_EXTRA_NANOS = Duration.ofSeconds(3).toNanos();

    // Share of heartbeats that go to other zones, which detect the loss of a whole zone. With
    // 425 / 4 heartbeats/s to random nodes it takes 24 s to reach all 425 nodes of a lost zone.
    private static final double OTHER_ZONE_SHARE = 0.25;

    // Share of heartbeats that go to nodes that are the only ones of their region.
    private static final double SINGLE_NODE_REGION_SHARE = 0.0625;

    private final GossipSettings mSettings;
    private final PeerSelection mPeers;
    private final RandomGenerator mRandom;
    private final Outbox mOutbox;
    private final Long2ObjectHashMap<PendingHeartbeat> mPendingHeartbeats =
            new Long2ObjectHashMap<>();
    private final Long2ObjectHashMap<ForwardedHeartbeat> mForwardedHeartbeats =
            new Long2ObjectHashMap<>();
    private final List<Suspicion> mSuspicions = new ArrayList<>();
    private long mLastNumber;
    private long mNextHeartbeatNanos;

    FailureDetector(
            GossipSettings settings,
            PeerSelection peers,
            RandomGenerator random,
            Outbox outbox,
            long nowNanos) {
        mSettings = settings;
        mPeers = peers;
        mRandom = random;
        mOutbox = outbox;
        mNextHeartbeatNanos = nowNanos + random.nextLong(HEARTBEAT_INTERVAL_NANOS);
    }

    /**
     * Handles expired timeouts and sends the next heartbeat when due. Returns an update for each
     * node to suspect or to declare dead; the caller applies them.
     */
    List<MembershipUpdate> tick(long nowNanos) {
        List<MembershipUpdate> updates = new ArrayList<>();
        checkPendingHeartbeats(nowNanos, updates);
        mForwardedHeartbeats.values().removeIf(forwarded -> forwarded.isExpired(nowNanos));
        checkSuspicions(nowNanos, updates);
        if (nowNanos - mNextHeartbeatNanos >= 0) {
            mNextHeartbeatNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
            chooseTarget().ifPresent(target -> sendHeartbeat(target, nowNanos));
        }
        return updates;
    }

    /**
     * Discards pending heartbeats and restarts all suspicion timeouts, because after a pause of
     * this process missing replies say nothing about other nodes.
     */
    void resume(long nowNanos) {
        mPendingHeartbeats.clear();
        mForwardedHeartbeats.clear();
        mSuspicions.replaceAll(suspicion -> suspicion.restart(nowNanos));
        mNextHeartbeatNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
    }

    /**
     * Starts the suspicion timeout of a suspected node.
     *
     * @param suspected entry that is marked as suspected
     * @param detectedHere true when this node's own heartbeats failed, false when another node
     *     reported the suspicion
     * @param nowNanos current monotonic time
     */
    void startSuspicion(MemberEntry suspected, boolean detectedHere, long nowNanos) {
        // A refutation may not reach this node across a region boundary. For suspects of other
        // regions that others reported, it waits for the tombstone from the suspect's region.
        if (detectedHere || mPeers.isOfOwnRegion(suspected)) {
            long extra = mPeers.isOfOwnZone(suspected) ? 0 : OTHER_ZONE_EXTRA_NANOS;
            long timeout = mSettings.suspicionTimeout().toNanos() + extra;
            mSuspicions.add(new Suspicion(suspected, suspected.version(), nowNanos, timeout));
        }
    }

    void handle(GossipMessage.Heartbeat heartbeat) {
        mOutbox.send(
                heartbeat.sender().address(),
                new GossipMessage.HeartbeatReply(mOutbox.sender(), heartbeat.number()));
    }

    void handle(GossipMessage.IndirectHeartbeat indirect, long nowNanos) {
        long number = ++mLastNumber;
        mForwardedHeartbeats.put(
                number,
                new ForwardedHeartbeat(indirect.sender().address(), indirect.number(), nowNanos));
        mOutbox.send(indirect.address(), new GossipMessage.Heartbeat(mOutbox.sender(), number));
    }

    void handle(GossipMessage.HeartbeatReply reply, long nowNanos) {
        PendingHeartbeat pending = mPendingHeartbeats.remove(reply.number());
        if (pending != null) {
            pending.target().recordContact(nowNanos);
        }
        ForwardedHeartbeat forwarded = mForwardedHeartbeats.remove(reply.number());
        if (forwarded != null) {
            mOutbox.send(
                    forwarded.address(),
                    new GossipMessage.HeartbeatReply(mOutbox.sender(), forwarded.number()));
        }
    }

    private Optional<MemberEntry> chooseTarget() {
        if (mRandom.nextDouble() < SINGLE_NODE_REGION_SHARE) {
            Optional<MemberEntry> singleNode = mPeers.ofSingleNodeRegions();
            if (singleNode.isPresent()) {
                return singleNode;
            }
        }
        Optional<MemberEntry> otherZone = mPeers.ofOtherZone();
        if (otherZone.isPresent() && mRandom.nextDouble() < OTHER_ZONE_SHARE) {
            return otherZone;
        }
        return mPeers.ofOwnZone().or(() -> otherZone).or(mPeers::ofSingleNodeRegions);
    }

    private void sendHeartbeat(MemberEntry target, long nowNanos) {
        long number = ++mLastNumber;
        mPendingHeartbeats.put(number, new PendingHeartbeat(target, nowNanos, false));
        mOutbox.send(
                target.record().peerAddress(),
                new GossipMessage.Heartbeat(mOutbox.sender(), number));
    }

    private void checkPendingHeartbeats(long nowNanos, List<MembershipUpdate> updates) {
        List<Long> overdue = new ArrayList<>();
        for (long number : mPendingHeartbeats.keySet()) {
            if (mPendingHeartbeats.get(number).isOverdue(nowNanos)) {
                overdue.add(number);
            }
        }
        overdue.sort(null);
        for (long number : overdue) {
            PendingHeartbeat pending = mPendingHeartbeats.remove(number);
            MemberEntry target = pending.target();
            if (!target.isLive()
                    || target.isSuspected()
                    || target.hasContactSince(pending.sentNanos())) {
                continue;
            }
            if (pending.indirect() || !sendIndirectHeartbeats(pending, number)) {
                updates.add(
                        new MembershipUpdate.Suspected(
                                target.node(), target.incarnation(), target.version()));
            }
        }
    }

    private boolean sendIndirectHeartbeats(PendingHeartbeat pending, long number) {
        List<MemberEntry> intermediaries =
                mPeers.intermediaries(pending.target(), mSettings.indirectHeartbeats());
        for (MemberEntry intermediary : intermediaries) {
            mOutbox.send(
                    intermediary.record().peerAddress(),
                    new GossipMessage.IndirectHeartbeat(
                            mOutbox.sender(), number, pending.target().record().peerAddress()));
        }
        if (intermediaries.isEmpty()) {
            return false;
        }
        mPendingHeartbeats.put(
                number, new PendingHeartbeat(pending.target(), pending.sentNanos(), true));
        return true;
    }

    private void checkSuspicions(long nowNanos, List<MembershipUpdate> updates) {
        ListIterator<Suspicion> suspicions = mSuspicions.listIterator();
        while (suspicions.hasNext()) {
            Suspicion suspicion = suspicions.next();
            MemberEntry suspect = suspicion.suspect();
            if (!suspect.isLive()
                    || !suspect.isSuspected()
                    || suspect.version() != suspicion.version()) {
                suspicions.remove();
                continue;
            }
            boolean expired = nowNanos - suspicion.startNanos() >= suspicion.timeoutNanos();
            if (expired && suspect.hasContactSince(suspicion.startNanos())) {
                suspicions.set(suspicion.restart(nowNanos));
            } else if (expired) {
                suspicions.remove();
                updates.add(new MembershipUpdate.Departed(Tombstone.of(suspect.record())));
            }
        }
    }

    private record PendingHeartbeat(MemberEntry target, long sentNanos, boolean indirect) {
        private boolean isOverdue(long nowNanos) {
            long timeout = indirect ? INDIRECT_TIMEOUT_NANOS : DIRECT_TIMEOUT_NANOS;
            return nowNanos - sentNanos >= timeout;
        }
    }

    private record ForwardedHeartbeat(String address, long number, long sentNanos) {
        private boolean isExpired(long nowNanos) {
            return nowNanos - sentNanos >= INDIRECT_TIMEOUT_NANOS;
        }
    }

    private record Suspicion(
            MemberEntry suspect, long version, long startNanos, long timeoutNanos) {
        private Suspicion restart(long nowNanos) {
            return new Suspicion(suspect, version, nowNanos, timeoutNanos);
        }
    }
}
