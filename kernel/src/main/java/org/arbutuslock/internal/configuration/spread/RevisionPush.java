package org.arbutuslock.internal.configuration.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.LongFunction;

/**
 * Pushes changes that are new to this node to 3 random nodes of its availability zone. Relay nodes
 * also push them to one node of each other zone of the region or of each other region.
 */
final class RevisionPush {
    /** Nodes of the own availability zone that get each change. */
    private static final int FANOUT = 3;

    /**
     * Largest encoded change that is pushed. For a larger change a digest is sent instead, so that
     * each receiver fetches only one copy of the change.
     */
    private static final int MAXIMUM_PUSHED_BYTES = 32 << 10;

    /**
     * Most changes that are pushed at once. A node that was further behind sends one digest instead
     * of every change.
     */
    private static final int MAXIMUM_PUSHED_CHANGES = 16;

    /** Origin of changes that were sent on request; no node relays them. */
    static final SpreadMessage.Origin NO_ORIGIN = new SpreadMessage.Origin("", "");

    private final NodeIdentity mSelf;
    private final SpreadPeers mPeers;
    private final List<PendingRevision> mPending = new ArrayList<>();

    private record PendingRevision(
            long revision, byte[] encoded, SpreadMessage.Origin origin, String sender) {}

    /** Sends a message to several addresses. */
    interface Transport {
        void send(List<String> addresses, SpreadMessage message);
    }

    RevisionPush(NodeIdentity self, SpreadPeers peers) {
        mSelf = self;
        mPeers = peers;
    }

    /** Queues a change for the next {@link #flush}; the sender does not get it back. */
    void add(long revision, byte[] encoded, SpreadMessage.Origin origin, String sender) {
        mPending.add(new PendingRevision(revision, encoded, withEntryZone(origin), sender));
    }

    /**
     * Sets the own availability zone as the origin zone of a change that has just arrived from
     * another region, so that the relays of this zone pass it on within the region.
     */
    private SpreadMessage.Origin withEntryZone(SpreadMessage.Origin origin) {
        return !origin.region().isEmpty() && origin.zone().isEmpty()
                ? new SpreadMessage.Origin(origin.region(), mSelf.zone())
                : origin;
    }

    /** Sends all queued changes and empties the queue. */
    void flush(LongFunction<UUID> changeIdOf, SpreadMessage.Digest digest, Transport transport) {
        if (mPending.isEmpty()) {
            return;
        }
        if (mPending.size() > MAXIMUM_PUSHED_CHANGES) {
            transport.send(mPeers.pushTargets(FANOUT, mPending.getFirst().sender()), digest);
            mPending.clear();
            return;
        }
        for (PendingRevision pending : mPending) {
            send(pending, changeIdOf.apply(pending.revision() - 1), digest, transport);
        }
        mPending.clear();
    }

    private void send(
            PendingRevision pending,
            UUID baseId,
            SpreadMessage.Digest digest,
            Transport transport) {
        transport.send(
                mPeers.pushTargets(FANOUT, pending.sender()),
                messageOf(pending, baseId, pending.origin(), digest));
        if (mPeers.isZoneRelay() && pending.origin().zone().equals(mSelf.zone())) {
            transport.send(
                    mPeers.oneNodePerOtherZone(),
                    messageOf(pending, baseId, pending.origin(), digest));
        }
        if (mPeers.isRegionRelay() && pending.origin().region().equals(mSelf.region())) {
            SpreadMessage.Origin regionOrigin = new SpreadMessage.Origin(mSelf.region(), "");
            transport.send(
                    mPeers.oneNodePerOtherRegion(),
                    messageOf(pending, baseId, regionOrigin, digest));
        }
    }

    private SpreadMessage messageOf(
            PendingRevision pending,
            UUID baseId,
            SpreadMessage.Origin origin,
            SpreadMessage.Digest digest) {
        if (pending.encoded().length > MAXIMUM_PUSHED_BYTES) {
            return digest;
        }
        return new SpreadMessage.Changes(
                mSelf.sender(),
                pending.revision(),
                baseId,
                origin,
                false,
                List.of(pending.encoded()));
    }
}
