package org.arbutuslock.internal.configuration.spread;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.membership.StableHash;

/**
 * Index of the fleet by region and availability zone. Chooses the receivers of messages and decides
 * whether this node is a relay or a candidate for a watcher slot.
 */
final class SpreadPeers {
    private static final int RELAYS_PER_ZONE = 2;
    private static final int RELAYS_PER_REGION = 1;

    /**
     * Nodes of each availability zone that try to claim a watcher slot. Twice the number of slots,
     * so that other nodes already poll for a slot when a watcher fails.
     */
    private static final int CANDIDATES_PER_ZONE = 2 * WatcherElection.SLOTS;

    /**
     * Digests per second that all nodes of a zone together send to other zones, and those of a
     * region to other regions.
     */
    private static final double OUTBOUND_DIGESTS_PER_SECOND = 8;

    /** Largest share of its digests that a node of a small zone or region sends to others. */
    private static final double MAXIMUM_OUTBOUND_SHARE = 1.0 / 3;

    /**
     * Number of nodes up to which every update is indexed at once. Larger fleets are indexed at
     * most once per second, since their records change all the time.
     */
    private static final int SMALL_FLEET = 200;

    private static final long INDEX_INTERVAL_NANOS = 1_000_000_000L;

    private final NodeIdentity mSelf;
    private final RandomGenerator mRandom;
    private final Map<String, Long> mRanks = new HashMap<>();
    private FleetSnapshot mFleet = FleetSnapshot.EMPTY;
    private boolean mChanged;
    private long mIndexedNanos;
    private List<NodeRecord> mOthers = List.of();
    private List<NodeRecord> mOwnZone = List.of();
    private Map<String, List<NodeRecord>> mOtherZones = Map.of();
    private Map<String, List<NodeRecord>> mOtherRegions = Map.of();
    private Set<String> mOwnZoneNames = Set.of();
    private List<NodeRecord> mNeighbors = List.of();
    private int mZonePosition;
    private int mRegionPosition;

    SpreadPeers(NodeIdentity self, RandomGenerator random) {
        mSelf = self;
        mRandom = random;
    }

    void update(FleetSnapshot fleet, long now) {
        mFleet = fleet;
        mChanged = true;
        if (fleet.nodes().size() <= SMALL_FLEET) {
            index(now);
        }
    }

    /** Indexes the newest update when the interval has passed. */
    void tick(long now) {
        if (mChanged && now - mIndexedNanos >= INDEX_INTERVAL_NANOS) {
            index(now);
        }
    }

    private void index(long now) {
        mChanged = false;
        mIndexedNanos = now;
        mOthers = new ArrayList<>();
        mOwnZone = new ArrayList<>();
        mOtherZones = new TreeMap<>();
        mOtherRegions = new TreeMap<>();
        List<String> ownRegionNames = new ArrayList<>(List.of(mSelf.node()));
        for (NodeRecord record : mFleet.nodes()) {
            if (!record.node().equals(mSelf.node())) {
                mOthers.add(record);
                groupOf(record).add(record);
                if (record.region().equals(mSelf.region()) && !record.draining()) {
                    ownRegionNames.add(record.node());
                }
            }
        }
        mOwnZoneNames = new HashSet<>();
        mOwnZone.forEach(record -> mOwnZoneNames.add(record.node()));
        mRanks.keySet().retainAll(ownRegionNames);
        mRegionPosition = positionAmong(ownRegionNames);
        ownRegionNames.removeIf(
                name -> !name.equals(mSelf.node()) && !mOwnZoneNames.contains(name));
        mZonePosition = positionAmong(ownRegionNames);
        mNeighbors = neighborsAmong(ownRegionNames);
    }

    /** Returns the nodes directly before and after this node in the ring of its zone. */
    private List<NodeRecord> neighborsAmong(List<String> zone) {
        int size = zone.size();
        Set<String> names =
                new HashSet<>(
                        Arrays.asList(
                                zone.get((mZonePosition + 1) % size),
                                zone.get((mZonePosition + size - 1) % size)));
        return mOwnZone.stream().filter(record -> names.contains(record.node())).toList();
    }

    private List<NodeRecord> groupOf(NodeRecord record) {
        if (!record.region().equals(mSelf.region())) {
            return mOtherRegions.computeIfAbsent(record.region(), name -> new ArrayList<>());
        }
        return record.availabilityZone().equals(mSelf.zone())
                ? mOwnZone
                : mOtherZones.computeIfAbsent(record.availabilityZone(), name -> new ArrayList<>());
    }

    private int positionAmong(List<String> names) {
        names.sort(Comparator.comparingLong(this::rankOf).thenComparing(Comparator.naturalOrder()));
        return names.indexOf(mSelf.node());
    }

    private long rankOf(String node) {
        return mRanks.computeIfAbsent(node, name -> StableHash.ofName(name).getLong());
    }

    boolean isAlone() {
        return mOthers.isEmpty();
    }

    /** Returns the number of nodes of the own availability zone, including this node. */
    int zoneSize() {
        return mOwnZone.size() + 1;
    }

    boolean isInOwnZone(String node) {
        return mOwnZoneNames.contains(node);
    }

    List<NodeRecord> neighbors() {
        return mNeighbors;
    }

    /** Returns whether this node forwards changes of its zone to the other zones of the region. */
    boolean isZoneRelay() {
        return mZonePosition < RELAYS_PER_ZONE;
    }

    /** Returns whether this node forwards changes of its region to the other regions. */
    boolean isRegionRelay() {
        return mRegionPosition < RELAYS_PER_REGION;
    }

    /** Returns whether this node is among the nodes of its zone that claim watcher slots. */
    boolean isCandidate() {
        return mZonePosition < CANDIDATES_PER_ZONE;
    }

    /** Returns the addresses of random nodes of the own zone, without the sender of the change. */
    List<String> pushTargets(int count, String sender) {
        return choose(mOwnZone, count, sender);
    }

    List<String> oneNodePerOtherZone() {
        return mOtherZones.values().stream().map(group -> pick(group).peerAddress()).toList();
    }

    List<String> oneNodePerOtherRegion() {
        return mOtherRegions.values().stream().map(group -> pick(group).peerAddress()).toList();
    }

    /**
     * Returns the addresses of nodes to ask when this node starts: up to {@code count - 1} random
     * nodes of the own zone, the rest random nodes of the whole fleet.
     */
    List<String> startContacts(int count) {
        Set<String> chosen = new LinkedHashSet<>(choose(mOwnZone, count - 1, ""));
        chosen.addAll(choose(mOthers, count, ""));
        return chosen.stream().limit(count).toList();
    }

    /**
     * Returns the address of a random node to send a digest to, mostly one of the own zone, or
     * empty when this node knows no other.
     */
    Optional<String> digestPartner() {
        if (isAlone()) {
            return Optional.empty();
        }
        int zone = zoneSize();
        int region = zone + mOtherZones.values().stream().mapToInt(List::size).sum();
        double choice = mRandom.nextDouble();
        double regionShare = outboundShare(region);
        if (!mOtherRegions.isEmpty() && choice < regionShare) {
            return Optional.of(pick(anyGroup(mOtherRegions)).peerAddress());
        }
        if (!mOtherZones.isEmpty() && choice < regionShare + outboundShare(zone)) {
            return Optional.of(pick(anyGroup(mOtherZones)).peerAddress());
        }
        return Optional.of(pick(mOwnZone.isEmpty() ? mOthers : mOwnZone).peerAddress());
    }

    private static double outboundShare(int groupSize) {
        return Math.min(MAXIMUM_OUTBOUND_SHARE, OUTBOUND_DIGESTS_PER_SECOND / groupSize);
    }

    private List<NodeRecord> anyGroup(Map<String, List<NodeRecord>> groups) {
        return groups.values().stream()
                .skip(mRandom.nextInt(groups.size()))
                .findFirst()
                .orElseThrow();
    }

    private NodeRecord pick(List<NodeRecord> group) {
        return group.get(mRandom.nextInt(group.size()));
    }

    private List<String> choose(List<NodeRecord> group, int count, String excludedNode) {
        Set<String> chosen = new LinkedHashSet<>();
        int start = group.isEmpty() ? 0 : mRandom.nextInt(group.size());
        if (group.size() <= 2 * count) {
            for (int step = 0; step < group.size() && chosen.size() < count; step++) {
                add(chosen, group.get((start + step) % group.size()), excludedNode);
            }
            return List.copyOf(chosen);
        }
        while (chosen.size() < count) {
            add(chosen, pick(group), excludedNode);
        }
        return List.copyOf(chosen);
    }

    private static void add(Set<String> chosen, NodeRecord record, String excludedNode) {
        if (!record.node().equals(excludedNode)) {
            chosen.add(record.peerAddress());
        }
    }
}
