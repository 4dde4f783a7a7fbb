package org.arbutuslock.internal.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.agrona.collections.Long2ObjectHashMap;

/** All nodes that one node knows, with the hashes of the digest. Confined to one protocol. */
final class MembershipTable {
    private static final int PART_SHIFT =
            Long.SIZE - Integer.numberOfTrailingZeros(GossipMessage.PARTS);

    private final Long2ObjectHashMap<MemberEntry> mEntries = new Long2ObjectHashMap<>();
    private final Map<String, MemberEntry> mByName = new HashMap<>();
    private final List<MemberEntry> mLive = new ArrayList<>();
    private final Map<String, List<MemberEntry>> mRegions = new TreeMap<>();
    private final Map<String, Map<String, List<MemberEntry>>> mZones = new TreeMap<>();
    private final Deque<MemberEntry> mDeparted = new ArrayDeque<>();
    private final List<List<MemberEntry>> mParts = new ArrayList<>(GossipMessage.PARTS);
    private final long[] mPartHashes = new long[GossipMessage.PARTS];

    MembershipTable() {
        for (int part = 0; part < GossipMessage.PARTS; part++) {
            mParts.add(new ArrayList<>(0));
        }
    }

    /** Returns the entry of a live or departed node, or null. */
    MemberEntry find(String node) {
        return mByName.get(node);
    }

    /** Returns the entry with this hash of the name, or null. */
    MemberEntry find(long key) {
        return mEntries.get(key);
    }

    /** Adds a node or replaces its record. Returns null when its name collides with another. */
    MemberEntry put(NodeRecord record) {
        MemberEntry entry = findOrAdd(record.node());
        if (entry == null) {
            return null;
        }
        unlink(entry);
        entry.setRecord(record);
        mLive.add(entry);
        mRegions.computeIfAbsent(record.region(), name -> new ArrayList<>()).add(entry);
        mZones.computeIfAbsent(record.region(), name -> new TreeMap<>())
                .computeIfAbsent(record.availabilityZone(), name -> new ArrayList<>())
                .add(entry);
        mPartHashes[partOf(entry.key())] ^= entry.stampHash();
        return entry;
    }

    /** Replaces the record of a node by a tombstone. */
    void bury(Tombstone departure, long nowNanos) {
        MemberEntry entry = findOrAdd(departure.node());
        if (entry == null) {
            return;
        }
        unlink(entry);
        entry.setDeparture(departure, nowNanos);
        mDeparted.add(entry);
    }

    /** Removes tombstones that are older than a lifetime. */
    void purge(long nowNanos, long lifetimeNanos) {
        while (!mDeparted.isEmpty()
                && nowNanos - mDeparted.peek().departedNanos() > lifetimeNanos) {
            MemberEntry entry = mDeparted.remove();
            mEntries.remove(entry.key());
            mByName.remove(entry.node());
            mParts.get(partOf(entry.key())).remove(entry);
        }
    }

    List<MemberEntry> live() {
        return mLive;
    }

    List<MemberEntry> departed() {
        return List.copyOf(mDeparted);
    }

    Set<String> regions() {
        return mRegions.keySet();
    }

    List<MemberEntry> region(String region) {
        return mRegions.getOrDefault(region, List.of());
    }

    Set<String> zones(String region) {
        return mZones.getOrDefault(region, Map.of()).keySet();
    }

    List<MemberEntry> zone(String region, String zone) {
        return mZones.getOrDefault(region, Map.of()).getOrDefault(zone, List.of());
    }

    /** Returns the hash of each bucket. */
    long[] bucketHashes() {
        long[] hashes = new long[GossipMessage.BUCKETS];
        for (int part = 0; part < GossipMessage.PARTS; part++) {
            hashes[part / GossipMessage.PARTS_PER_BUCKET] ^= mPartHashes[part];
        }
        return hashes;
    }

    long partHash(int part) {
        return mPartHashes[part];
    }

    /** Returns all entries of one part, tombstones included. */
    List<MemberEntry> part(int part) {
        return Collections.unmodifiableList(mParts.get(part));
    }

    private MemberEntry findOrAdd(String node) {
        MemberEntry known = mByName.get(node);
        if (known != null) {
            return known;
        }
        MemberEntry added = new MemberEntry(node);
        if (mEntries.containsKey(added.key())) {
            return null;
        }
        mEntries.put(added.key(), added);
        mByName.put(node, added);
        mParts.get(partOf(added.key())).add(added);
        return added;
    }

    private void unlink(MemberEntry entry) {
        if (entry.departure() != null) {
            mDeparted.remove(entry);
        }
        if (!entry.isLive()) {
            return;
        }
        NodeRecord record = entry.record();
        mPartHashes[partOf(entry.key())] ^= entry.stampHash();
        mLive.remove(entry);
        remove(mRegions, record.region(), entry);
        remove(mZones.get(record.region()), record.availabilityZone(), entry);
    }

    private static void remove(
            Map<String, List<MemberEntry>> groups, String name, MemberEntry entry) {
        List<MemberEntry> group = groups.get(name);
        group.remove(entry);
        if (group.isEmpty()) {
            groups.remove(name);
        }
    }

    private static int partOf(long key) {
        return (int) (key >>> PART_SHIFT);
    }
}
