package org.arbutuslock.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.arbutuslock.api.Clock;

/**
 * Compares the membership table with that of one random node each second and repairs differences.
 * An exchange narrows them down in steps: hashes of buckets, hashes of the parts of differing
 * buckets, stamps of the nodes in differing parts, and last the records. The size of an exchange is
 * bounded; later exchanges repair what is left.
 */
final class AntiEntropy {
    private static final long INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    // Exchanges per second that all nodes of a zone, or of a region, together start with other
    // zones or regions. With 10 regions of 850 nodes each pair of regions has an exchange every two
    // seconds; the rate does not depend on the number of nodes.
    private static final double OTHER_ZONE_EXCHANGES_PER_SECOND = 4;
    private static final double OTHER_REGION_EXCHANGES_PER_SECOND = 2;

    // Upper limit on the share of exchanges with other zones, and on that with other regions.
    private static final double MAXIMUM_REMOTE_SHARE = 0.25;

    // Share of exchanges with seeds and departed nodes, which rejoin parts of a split fleet.
    private static final double REJOIN_SHARE = 0.125;

    // Limits of one exchange: a digest of 4 buckets takes 0.6 KB, 128 stamps take 2.7 KB.
    private static final int BUCKETS_PER_EXCHANGE = 4;
    private static final int STAMPS_PER_EXCHANGE = 128;

    // Half of the 7 KB/s that a node may send; the rest is for pushed updates and heartbeats.
    private static final int REPAIR_BYTES_PER_SECOND = 3_500;
    private static final int REPAIR_BURST_BYTES = 6_000;

    private final MembershipTable mTable;
    private final PeerSelection mPeers;
    private final List<String> mSeeds;
    private final RandomGenerator mRandom;
    private final Outbox mOutbox;
    private final ByteBudget mBudget;
    private long mNextExchangeNanos;

    AntiEntropy(
            MembershipTable table,
            PeerSelection peers,
            List<String> seeds,
            RandomGenerator random,
            Outbox outbox,
            Clock clock) {
        mTable = table;
        mPeers = peers;
        mSeeds = new CopyOnWriteArrayList<>(seeds);
        mRandom = random;
        mOutbox = outbox;
        mBudget = new ByteBudget(clock, REPAIR_BYTES_PER_SECOND, REPAIR_BURST_BYTES);
        mNextExchangeNanos = clock.nanoTime() + random.nextLong(INTERVAL_NANOS);
    }

    /** Adds an address to contact now and then, so that parts of a split fleet find each other. */
    void addSeed(String address) {
        if (!mSeeds.contains(address)) {
            mSeeds.add(address);
        }
    }

    void tick(long nowNanos) {
        if (nowNanos - mNextExchangeNanos >= 0) {
            mNextExchangeNanos = nowNanos + INTERVAL_NANOS;
            choosePartner().ifPresent(this::sendDigest);
        }
    }

    void sendDigest(String address) {
        mOutbox.send(address, new GossipMessage.Digest(mOutbox.sender(), mTable.bucketHashes()));
    }

    void handle(GossipMessage.Digest digest) {
        long[] own = mTable.bucketHashes();
        List<Integer> differing = new ArrayList<>();
        int start = mRandom.nextInt(GossipMessage.BUCKETS);
        for (int step = 0; step < GossipMessage.BUCKETS; step++) {
            int bucket = (start + step) % GossipMessage.BUCKETS;
            if (own[bucket] != digest.hashes()[bucket]) {
                differing.add(bucket);
            }
        }
        if (differing.isEmpty()) {
            return;
        }
        List<Integer> buckets =
                differing.subList(0, Math.min(BUCKETS_PER_EXCHANGE, differing.size()));
        long[] hashes = buckets.stream().flatMapToLong(this::partHashes).toArray();
        mOutbox.send(
                digest.sender().address(),
                new GossipMessage.BucketDigest(mOutbox.sender(), buckets, hashes));
    }

    private LongStream partHashes(int bucket) {
        return IntStream.range(0, GossipMessage.PARTS_PER_BUCKET)
                .mapToLong(part -> mTable.partHash(partOf(bucket, part)));
    }

    void handle(GossipMessage.BucketDigest digest) {
        List<GossipMessage.Part> parts = new ArrayList<>();
        int stamps = 0;
        for (int index = 0; index < digest.hashes().length; index++) {
            int bucket = digest.buckets().get(index / GossipMessage.PARTS_PER_BUCKET);
            int part = partOf(bucket, index % GossipMessage.PARTS_PER_BUCKET);
            if (mTable.partHash(part) != digest.hashes()[index] && stamps < STAMPS_PER_EXCHANGE) {
                parts.add(new GossipMessage.Part(part, stampsOf(part)));
                stamps += mTable.part(part).size();
            }
        }
        if (!parts.isEmpty()) {
            mOutbox.send(
                    digest.sender().address(),
                    new GossipMessage.PartStamps(mOutbox.sender(), parts));
        }
    }

    void handle(GossipMessage.PartStamps stamps) {
        List<MembershipUpdate> newer = new ArrayList<>();
        List<Long> wanted = new ArrayList<>();
        for (GossipMessage.Part part : stamps.parts()) {
            compare(part, newer, wanted);
        }
        String address = stamps.sender().address();
        if (!wanted.isEmpty()) {
            List<Long> first = wanted.subList(0, Math.min(STAMPS_PER_EXCHANGE, wanted.size()));
            mOutbox.send(address, new GossipMessage.UpdateRequest(mOutbox.sender(), first));
        }
        sendRepair(address, newer);
    }

    void handle(GossipMessage.UpdateRequest request) {
        List<MembershipUpdate> updates = new ArrayList<>();
        for (long key : request.keys()) {
            MemberEntry entry = mTable.find(key);
            if (entry != null) {
                updates.add(entry.update());
            }
        }
        sendRepair(request.sender().address(), updates);
    }

    private void compare(GossipMessage.Part part, List<MembershipUpdate> newer, List<Long> wanted) {
        Map<Long, GossipMessage.Stamp> theirs = new HashMap<>();
        part.stamps().forEach(stamp -> theirs.put(stamp.key(), stamp));
        for (MemberEntry entry : mTable.part(part.number())) {
            GossipMessage.Stamp stamp = theirs.remove(entry.key());
            if (stamp == null) {
                if (entry.isLive()) {
                    newer.add(entry.update());
                }
                continue;
            }
            int order = entry.compareTo(stamp.incarnation(), stamp.version());
            boolean same = order == 0 && stamp.departed() != entry.isLive();
            if (order < 0 || order == 0 && !entry.isLive() && !same) {
                newer.add(entry.update());
            } else if (!same) {
                wanted.add(entry.key());
            }
        }
        for (GossipMessage.Stamp unknown : part.stamps()) {
            if (theirs.containsKey(unknown.key()) && !unknown.departed()) {
                wanted.add(unknown.key());
            }
        }
    }

    /** Sends as many updates as the byte budget allows; later exchanges repair the rest. */
    private void sendRepair(String address, List<MembershipUpdate> updates) {
        int available = mBudget.available();
        List<MembershipUpdate> sent = new ArrayList<>();
        int bytes = 0;
        for (MembershipUpdate update : updates) {
            if (bytes >= available) {
                break;
            }
            sent.add(update);
            bytes += update.estimatedBytes();
        }
        if (!sent.isEmpty()) {
            mBudget.spend(bytes);
            mOutbox.sendUpdates(address, true, sent);
        }
    }

    private List<GossipMessage.Stamp> stampsOf(int part) {
        return mTable.part(part).stream()
                .map(
                        entry ->
                                new GossipMessage.Stamp(
                                        entry.key(),
                                        entry.incarnation(),
                                        entry.version(),
                                        !entry.isLive()))
                .toList();
    }

    private Optional<String> choosePartner() {
        if (mTable.live().size() == 1 || mRandom.nextDouble() < REJOIN_SHARE) {
            Optional<String> address = chooseSeedOrDeparted();
            if (address.isPresent()) {
                return address;
            }
        }
        double draw = mRandom.nextDouble();
        double toRegion = share(OTHER_REGION_EXCHANGES_PER_SECOND, mPeers.ownRegion().size());
        double toZone = share(OTHER_ZONE_EXCHANGES_PER_SECOND, mPeers.ownZone().size());
        Optional<MemberEntry> chosen = Optional.empty();
        if (draw < toRegion) {
            chosen = mPeers.ofOtherRegion();
        } else if (draw < toRegion + toZone) {
            chosen = mPeers.ofOtherZone();
        }
        return chosen.or(mPeers::ofOwnZone)
                .or(mPeers::ofAll)
                .map(entry -> entry.record().peerAddress());
    }

    /**
     * Chooses the address of a random seed or departed node, so that parts of a split fleet rejoin.
     */
    private Optional<String> chooseSeedOrDeparted() {
        List<String> addresses = new ArrayList<>(mSeeds);
        mTable.departed().forEach(entry -> addresses.add(entry.tombstone().peerAddress()));
        addresses.removeIf(address -> address.equals(mOutbox.sender().address()));
        return addresses.isEmpty()
                ? Optional.empty()
                : Optional.of(addresses.get(mRandom.nextInt(addresses.size())));
    }

    private static double share(double exchanges, int nodes) {
        return Math.min(MAXIMUM_REMOTE_SHARE, exchanges / nodes);
    }

    private static int partOf(int bucket, int part) {
        return bucket * GossipMessage.PARTS_PER_BUCKET + part;
    }
}
