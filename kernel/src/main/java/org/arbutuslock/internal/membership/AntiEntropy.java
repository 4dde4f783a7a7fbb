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
 * Compares digests with one random node each second and repairs what differs: buckets first, then
 * parts of buckets, then stamps, then records. Each exchange repairs a bounded amount; the next
 * ones find the rest.
 */
final class AntiEntropy {
    private static final long INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    // Exchanges per second of a whole zone or region across its border: with 10 regions of 850
    // nodes each pair of regions exchanges every two seconds, whatever the number of nodes.
    private static final double OTHER_ZONE_EXCHANGES = 4;
    private static final double OTHER_REGION_EXCHANGES = 2;
    private static final double LARGEST_SHARE = 0.25;
    private static final double LOST_SHARE = 0.125;

    // A bucket digest of 4 buckets has 0.6 KB; 128 stamps have 2.7 KB.
    private static final int BUCKETS_PER_EXCHANGE = 4;
    private static final int STAMPS_PER_EXCHANGE = 128;

    // Half of the 7 KB/s that a node may send; the other half is for news and heartbeats.
    private static final int REPAIR_BYTES_PER_SECOND = 3_500;
    private static final int REPAIR_BURST_BYTES = 6_000;

    private final MembershipTable mTable;
    private final PeerSelection mPeers;
    private final List<String> mSeeds;
    private final RandomGenerator mRandom;
    private final Outbox mOutbox;
    private final ByteBudget mBudget;
    private long mNextNanos;

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
        mNextNanos = clock.nanoTime() + random.nextLong(INTERVAL_NANOS);
    }

    /** Adds an address to contact when parts of the fleet may have lost each other. */
    void addSeed(String address) {
        if (!mSeeds.contains(address)) {
            mSeeds.add(address);
        }
    }

    void tick(long nowNanos) {
        if (nowNanos - mNextNanos >= 0) {
            mNextNanos = nowNanos + INTERVAL_NANOS;
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
        List<MembershipUpdate> statements = new ArrayList<>();
        for (long key : request.keys()) {
            MemberEntry entry = mTable.find(key);
            if (entry != null) {
                statements.add(entry.statement());
            }
        }
        sendRepair(request.sender().address(), statements);
    }

    private void compare(GossipMessage.Part part, List<MembershipUpdate> newer, List<Long> wanted) {
        Map<Long, GossipMessage.Stamp> theirs = new HashMap<>();
        part.stamps().forEach(stamp -> theirs.put(stamp.key(), stamp));
        for (MemberEntry entry : mTable.part(part.number())) {
            GossipMessage.Stamp stamp = theirs.remove(entry.key());
            if (stamp == null) {
                if (entry.isLive()) {
                    newer.add(entry.statement());
                }
                continue;
            }
            int order = entry.compareTo(stamp.incarnation(), stamp.version());
            boolean same = order == 0 && stamp.departed() != entry.isLive();
            if (order < 0 || order == 0 && !entry.isLive() && !same) {
                newer.add(entry.statement());
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

    /** Sends as many statements as the budget allows. */
    private void sendRepair(String address, List<MembershipUpdate> statements) {
        int available = mBudget.available();
        List<MembershipUpdate> sent = new ArrayList<>();
        int bytes = 0;
        for (MembershipUpdate statement : statements) {
            if (bytes >= available) {
                break;
            }
            sent.add(statement);
            bytes += statement.estimatedBytes();
        }
        if (!sent.isEmpty()) {
            mBudget.spend(bytes);
            mOutbox.sendStatements(address, true, sent);
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
        if (mTable.live().size() == 1 || mRandom.nextDouble() < LOST_SHARE) {
            Optional<String> lost = chooseLost();
            if (lost.isPresent()) {
                return lost;
            }
        }
        double draw = mRandom.nextDouble();
        double toRegion = share(OTHER_REGION_EXCHANGES, mPeers.ownRegion().size());
        double toZone = share(OTHER_ZONE_EXCHANGES, mPeers.ownZone().size());
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

    /** Chooses a seed or departed node, so that parts of the fleet that lost each other meet. */
    private Optional<String> chooseLost() {
        List<String> lost = new ArrayList<>(mSeeds);
        mTable.departed().forEach(entry -> lost.add(entry.departure().peerAddress()));
        lost.removeIf(address -> address.equals(mOutbox.sender().address()));
        return lost.isEmpty()
                ? Optional.empty()
                : Optional.of(lost.get(mRandom.nextInt(lost.size())));
    }

    private static double share(double exchanges, int nodes) {
        return Math.min(LARGEST_SHARE, exchanges / nodes);
    }

    private static int partOf(int bucket, int part) {
        return bucket * GossipMessage.PARTS_PER_BUCKET + part;
    }
}
