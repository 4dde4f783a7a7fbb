package org.arbutuslock.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.ListIterator;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Sends heartbeats to random nodes of the availability zone, asks others to check a node that does
 * not respond, suspects it, and declares it dead when it does not refute.
 */
final class FailureDetector {
    private static final long HEARTBEAT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long DIRECT_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();
    private static final long INDIRECT_TIMEOUT_NANOS = Duration.ofMillis(1_500).toNanos();

    // Nodes of another zone decide later, so that the zone of the node decides first.
    private static final long OTHER_ZONE_EXTRA_NANOS = Duration.ofSeconds(3).toNanos();

    // The loss of a whole zone is noticed by other zones: 425 nodes need 24 s at 425 / 4 checks/s.
    private static final double OTHER_ZONE_SHARE = 0.25;
    private static final double LONE_NODE_SHARE = 0.0625;

    private final GossipSettings mSettings;
    private final PeerSelection mPeers;
    private final RandomGenerator mRandom;
    private final Outbox mOutbox;
    private final Long2ObjectHashMap<Probe> mProbes = new Long2ObjectHashMap<>();
    private final Long2ObjectHashMap<Forwarded> mForwarded = new Long2ObjectHashMap<>();
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

    /** Returns nodes newly suspected or dead, as statements. */
    List<MembershipUpdate> tick(long nowNanos) {
        List<MembershipUpdate> found = new ArrayList<>();
        checkProbes(nowNanos, found);
        mForwarded.values().removeIf(forwarded -> forwarded.isExpired(nowNanos));
        checkSuspicions(nowNanos, found);
        if (nowNanos - mNextHeartbeatNanos >= 0) {
            mNextHeartbeatNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
            chooseTarget().ifPresent(target -> probe(target, nowNanos));
        }
        return found;
    }

    /** Forgets silence that this process's own pause explains. */
    void resume(long nowNanos) {
        mProbes.clear();
        mForwarded.clear();
        mSuspicions.replaceAll(suspicion -> suspicion.restart(nowNanos));
        mNextHeartbeatNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
    }

    /** Starts the time to death of a node that was marked as suspected. */
    void watch(MemberEntry suspected, boolean foundHere, long nowNanos) {
        // Nodes of another region may be cut off from the refutation; they wait for the tombstone.
        if (foundHere || mPeers.isOfOwnRegion(suspected)) {
            long extra = mPeers.isOfOwnZone(suspected) ? 0 : OTHER_ZONE_EXTRA_NANOS;
            long lifetime = mSettings.suspicion().toNanos() + extra;
            mSuspicions.add(new Suspicion(suspected, suspected.version(), nowNanos, lifetime));
        }
    }

    void handle(GossipMessage.Heartbeat heartbeat) {
        mOutbox.send(
                heartbeat.sender().address(),
                new GossipMessage.HeartbeatReply(mOutbox.sender(), heartbeat.number()));
    }

    void handle(GossipMessage.IndirectHeartbeat indirect, long nowNanos) {
        long number = ++mLastNumber;
        mForwarded.put(
                number, new Forwarded(indirect.sender().address(), indirect.number(), nowNanos));
        mOutbox.send(indirect.address(), new GossipMessage.Heartbeat(mOutbox.sender(), number));
    }

    void handle(GossipMessage.HeartbeatReply reply, long nowNanos) {
        Probe probe = mProbes.remove(reply.number());
        if (probe != null) {
            probe.target().hear(nowNanos);
        }
        Forwarded forwarded = mForwarded.remove(reply.number());
        if (forwarded != null) {
            mOutbox.send(
                    forwarded.address(),
                    new GossipMessage.HeartbeatReply(mOutbox.sender(), forwarded.number()));
        }
    }

    private Optional<MemberEntry> chooseTarget() {
        if (mRandom.nextDouble() < LONE_NODE_SHARE) {
            Optional<MemberEntry> lone = mPeers.ofLoneNodes();
            if (lone.isPresent()) {
                return lone;
            }
        }
        Optional<MemberEntry> otherZone = mPeers.ofOtherZone();
        if (otherZone.isPresent() && mRandom.nextDouble() < OTHER_ZONE_SHARE) {
            return otherZone;
        }
        return mPeers.ofOwnZone().or(() -> otherZone).or(mPeers::ofLoneNodes);
    }

    private void probe(MemberEntry target, long nowNanos) {
        long number = ++mLastNumber;
        mProbes.put(number, new Probe(target, nowNanos, false));
        mOutbox.send(
                target.record().peerAddress(),
                new GossipMessage.Heartbeat(mOutbox.sender(), number));
    }

    private void checkProbes(long nowNanos, List<MembershipUpdate> found) {
        List<Long> overdue = new ArrayList<>();
        for (long number : mProbes.keySet()) {
            if (mProbes.get(number).isOverdue(nowNanos)) {
                overdue.add(number);
            }
        }
        overdue.sort(null);
        for (long number : overdue) {
            Probe probe = mProbes.remove(number);
            MemberEntry target = probe.target();
            if (!target.isLive()
                    || target.isSuspected()
                    || target.isHeardSince(probe.sentNanos())) {
                continue;
            }
            if (probe.indirect() || !askHelpers(probe, number)) {
                found.add(
                        new MembershipUpdate.Suspected(
                                target.node(), target.incarnation(), target.version()));
            }
        }
    }

    private boolean askHelpers(Probe probe, long number) {
        List<MemberEntry> helpers = mPeers.helpers(probe.target(), mSettings.indirectChecks());
        for (MemberEntry helper : helpers) {
            mOutbox.send(
                    helper.record().peerAddress(),
                    new GossipMessage.IndirectHeartbeat(
                            mOutbox.sender(), number, probe.target().record().peerAddress()));
        }
        if (helpers.isEmpty()) {
            return false;
        }
        mProbes.put(number, new Probe(probe.target(), probe.sentNanos(), true));
        return true;
    }

    private void checkSuspicions(long nowNanos, List<MembershipUpdate> found) {
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
            boolean expired = nowNanos - suspicion.startNanos() >= suspicion.lifetimeNanos();
            if (expired && suspect.isHeardSince(suspicion.startNanos())) {
                suspicions.set(suspicion.restart(nowNanos));
            } else if (expired) {
                suspicions.remove();
                found.add(new MembershipUpdate.Departed(Tombstone.of(suspect.record())));
            }
        }
    }

    private record Probe(MemberEntry target, long sentNanos, boolean indirect) {
        private boolean isOverdue(long nowNanos) {
            long timeout = indirect ? INDIRECT_TIMEOUT_NANOS : DIRECT_TIMEOUT_NANOS;
            return nowNanos - sentNanos >= timeout;
        }
    }

    private record Forwarded(String address, long number, long sentNanos) {
        private boolean isExpired(long nowNanos) {
            return nowNanos - sentNanos >= INDIRECT_TIMEOUT_NANOS;
        }
    }

    private record Suspicion(
            MemberEntry suspect, long version, long startNanos, long lifetimeNanos) {
        private Suspicion restart(long nowNanos) {
            return new Suspicion(suspect, version, nowNanos, lifetimeNanos);
        }
    }
}
