package org.arbutuslock.internal.configuration.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.LongFunction;

/**
 * Sends changes that this node did not know to 3 random nodes of its availability zone and, on
 * relays, to the other zones of the region and to the other regions.
 */
final class RevisionPush {
    private static final int FANOUT = 3;

    /** A larger change is announced by a digest, so that each receiver takes one copy of it. */
    private static final int MAXIMUM_PUSHED_BYTES = 32 << 10;

    /** A node that was far behind announces its revision instead of every change. */
    private static final int MAXIMUM_PUSHED_CHANGES = 16;

    /** Origin of a repair, which nobody relays. */
    static final SpreadMessage.Origin NO_ORIGIN = new SpreadMessage.Origin("", "");

    private final NodeIdentity mSelf;
    private final SpreadPeers mPeers;
    private final List<PendingRevision> mPending = new ArrayList<>();

    private record PendingRevision(
            long revision, byte[] encoded, SpreadMessage.Origin origin, String sender) {}

    /** Sends an encoded message. */
    interface Transport {
        void send(List<String> addresses, SpreadMessage message);
    }

    RevisionPush(NodeIdentity self, SpreadPeers peers) {
        mSelf = self;
        mPeers = peers;
    }

    void add(long revision, byte[] encoded, SpreadMessage.Origin origin, String sender) {
        mPending.add(new PendingRevision(revision, encoded, withEntryZone(origin), sender));
    }

    /** A change from another region starts anew in the zone that it reaches first. */
    private SpreadMessage.Origin withEntryZone(SpreadMessage.Origin origin) {
        return !origin.region().isEmpty() && origin.zone().isEmpty()
                ? new SpreadMessage.Origin(origin.region(), mSelf.zone())
                : origin;
    }

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
