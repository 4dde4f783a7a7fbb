package org.arbutuslock.internal.configuration.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.function.LongFunction;

/**
 * Sends changes that this node did not know to 3 random nodes of its availability zone and, on
 * relays, to the other zones of the region and to the other regions.
 */
final class NewsPush {
    private static final int RECEIVERS = 3;

    /** A larger change is announced by a digest, so that each receiver takes one copy of it. */
    private static final int LARGEST_PUSHED_BYTES = 32 << 10;

    /** A node that was far behind announces its revision instead of every change. */
    private static final int MOST_PUSHED_CHANGES = 16;

    /** Origin of a repair, which nobody relays. */
    static final SpreadMessage.Origin NO_ORIGIN = new SpreadMessage.Origin("", "");

    private final NodeIdentity mSelf;
    private final SpreadPeers mPeers;
    private final List<News> mNews = new ArrayList<>();

    private record News(
            long revision, byte[] encoded, SpreadMessage.Origin origin, String sender) {}

    /** Sends an encoded message. */
    interface Sending {
        void send(List<String> addresses, SpreadMessage message);
    }

    NewsPush(NodeIdentity self, SpreadPeers peers) {
        mSelf = self;
        mPeers = peers;
    }

    void add(long revision, byte[] encoded, SpreadMessage.Origin origin, String sender) {
        mNews.add(new News(revision, encoded, enter(origin), sender));
    }

    /** News from another region start anew in the zone that they reach first. */
    private SpreadMessage.Origin enter(SpreadMessage.Origin origin) {
        return !origin.region().isEmpty() && origin.zone().isEmpty()
                ? new SpreadMessage.Origin(origin.region(), mSelf.zone())
                : origin;
    }

    void flush(LongFunction<UUID> idOf, SpreadMessage.Digest digest, Sending sending) {
        if (mNews.isEmpty()) {
            return;
        }
        if (mNews.size() > MOST_PUSHED_CHANGES) {
            sending.send(mPeers.receivers(RECEIVERS, mNews.getFirst().sender()), digest);
            mNews.clear();
            return;
        }
        for (News news : mNews) {
            send(news, idOf.apply(news.revision() - 1), digest, sending);
        }
        mNews.clear();
    }

    private void send(News news, UUID baseId, SpreadMessage.Digest digest, Sending sending) {
        sending.send(
                mPeers.receivers(RECEIVERS, news.sender()),
                messageOf(news, baseId, news.origin(), digest));
        if (mPeers.isZoneRelay() && news.origin().zone().equals(mSelf.zone())) {
            sending.send(
                    mPeers.oneOfEachOtherZone(), messageOf(news, baseId, news.origin(), digest));
        }
        if (mPeers.isRegionRelay() && news.origin().region().equals(mSelf.region())) {
            SpreadMessage.Origin crossing = new SpreadMessage.Origin(mSelf.region(), "");
            sending.send(mPeers.oneOfEachOtherRegion(), messageOf(news, baseId, crossing, digest));
        }
    }

    private SpreadMessage messageOf(
            News news, UUID baseId, SpreadMessage.Origin origin, SpreadMessage.Digest digest) {
        if (news.encoded().length > LARGEST_PUSHED_BYTES) {
            return digest;
        }
        return new SpreadMessage.Changes(
                mSelf.sender(), news.revision(), baseId, origin, false, List.of(news.encoded()));
    }
}
