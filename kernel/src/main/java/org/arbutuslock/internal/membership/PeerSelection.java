package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses random peers, preferring nodes that are not suspected, and tells whether this node is a
 * relay. Relays are the nodes with the lowest ranks in a rendezvous hash.
 */
final class PeerSelection {
    /** Number of salts of the rendezvous hash; the version of an update selects the salt. */
    static final int SALTS = 4;

    /** Relays of each availability zone; each pushes an update to all other zones of the region. */
    static final int RELAYS_PER_ZONE = 2;

    /**
     * Relays of each region; with one relay, one copy of an update is sent to each other region.
     */
    static final int RELAYS_PER_REGION = 1;

    private static final int RANDOM_TRIES = 8;

    private final MembershipTable mTable;
    private final MemberEntry mSelf;
    private final String mRegion;
    private final String mZone;
    private final RandomGenerator mRandom;

    PeerSelection(MembershipTable table, MemberEntry self, RandomGenerator random) {
        mTable = table;
        mSelf = self;
        mRegion = self.record().region();
        mZone = self.record().availabilityZone();
        mRandom = random;
    }

    Optional<MemberEntry> ofOwnZone() {
        return pick(ownZone(), entry -> true);
    }

    Optional<MemberEntry> ofOtherZone() {
        return pick(mTable.region(mRegion), entry -> !isOfOwnZone(entry));
    }

    Optional<MemberEntry> ofOtherRegion() {
        return pick(mTable.live(), entry -> !isOfOwnRegion(entry));
    }

    Optional<MemberEntry> ofZone(String region, String zone) {
        return pick(mTable.zone(region, zone), entry -> true);
    }

    Optional<MemberEntry> ofRegion(String region) {
        return pick(mTable.region(region), entry -> true);
    }

    Optional<MemberEntry> ofAll() {
        return pick(mTable.live(), entry -> true);
    }

    /** Chooses a node that is the only one of its region, among the other regions. */
    Optional<MemberEntry> ofSingleNodeRegions() {
        List<MemberEntry> candidates = new ArrayList<>();
        for (String region : mTable.regions()) {
            if (mTable.region(region).size() == 1 && !region.equals(mRegion)) {
                candidates.add(mTable.region(region).getFirst());
            }
        }
        return pick(candidates, entry -> true);
    }

    /**
     * Chooses up to the given number of other nodes of this node's availability zone. May return
     * fewer, because the number of random tries is limited.
     */
    List<MemberEntry> ofOwnZone(int count) {
        List<MemberEntry> zone = ownZone();
        Set<MemberEntry> chosen = new LinkedHashSet<>();
        if (zone.size() <= count + 1) {
            zone.stream().filter(entry -> entry != mSelf).forEach(chosen::add);
            return List.copyOf(chosen);
        }
        for (int tries = 0; tries < count * RANDOM_TRIES && chosen.size() < count; tries++) {
            ofOwnZone().ifPresent(chosen::add);
        }
        return List.copyOf(chosen);
    }

    /**
     * Chooses nodes that send an indirect heartbeat to a target. They are one of the target's
     * availability zone, one of this node's zone, and one from elsewhere: another zone of the
     * region if the target is in this node's zone, else another region. So a network partition
     * between two zones alone does not make the target suspected.
     */
    List<MemberEntry> intermediaries(MemberEntry target, int count) {
        NodeRecord record = target.record();
        Set<MemberEntry> chosen = new LinkedHashSet<>();
        Predicate<MemberEntry> eligible = entry -> entry != target && !chosen.contains(entry);
        List<MemberEntry> targetZone = mTable.zone(record.region(), record.availabilityZone());
        pick(targetZone, eligible).ifPresent(chosen::add);
        pick(ownZone(), eligible).ifPresent(chosen::add);
        Predicate<MemberEntry> elsewhere =
                isOfOwnZone(target)
                        ? entry -> !isOfOwnZone(entry) && isOfOwnRegion(entry)
                        : entry -> !isOfOwnRegion(entry);
        pick(mTable.live(), eligible.and(elsewhere)).ifPresent(chosen::add);
        while (chosen.size() < count) {
            Optional<MemberEntry> other = pick(mTable.live(), eligible);
            if (other.isEmpty()) {
                break;
            }
            chosen.add(other.get());
        }
        return chosen.stream().limit(count).toList();
    }

    boolean isZoneRelay(int salt) {
        return isAmongLowest(ownZone(), salt, RELAYS_PER_ZONE);
    }

    boolean isRegionRelay(int salt) {
        return isAmongLowest(mTable.region(mRegion), salt, RELAYS_PER_REGION);
    }

    boolean isOfOwnRegion(MemberEntry entry) {
        return entry.record().region().equals(mRegion);
    }

    boolean isOfOwnZone(MemberEntry entry) {
        return isOfOwnRegion(entry) && entry.record().availabilityZone().equals(mZone);
    }

    List<MemberEntry> ownZone() {
        return mTable.zone(mRegion, mZone);
    }

    List<MemberEntry> ownRegion() {
        return mTable.region(mRegion);
    }

    private boolean isAmongLowest(List<MemberEntry> group, int salt, int count) {
        int lower = 0;
        for (MemberEntry entry : group) {
            if (entry != mSelf && !entry.isSuspected() && isLower(entry, salt)) {
                lower++;
            }
        }
        return lower < count;
    }

    private boolean isLower(MemberEntry entry, int salt) {
        int own = mSelf.rank(salt);
        int other = entry.rank(salt);
        return other != own ? other < own : entry.key() < mSelf.key();
    }

    private Optional<MemberEntry> pick(List<MemberEntry> group, Predicate<MemberEntry> wanted) {
        if (group.isEmpty()) {
            return Optional.empty();
        }
        for (int tries = 0; tries < RANDOM_TRIES; tries++) {
            MemberEntry entry = group.get(mRandom.nextInt(group.size()));
            if (entry != mSelf && !entry.isSuspected() && wanted.test(entry)) {
                return Optional.of(entry);
            }
        }
        return scan(group, wanted);
    }

    private Optional<MemberEntry> scan(List<MemberEntry> group, Predicate<MemberEntry> wanted) {
        int start = mRandom.nextInt(group.size());
        Optional<MemberEntry> suspected = Optional.empty();
        for (int step = 0; step < group.size(); step++) {
            MemberEntry entry = group.get((start + step) % group.size());
            if (entry == mSelf || !wanted.test(entry)) {
                continue;
            }
            if (!entry.isSuspected()) {
                return Optional.of(entry);
            }
            suspected = Optional.of(entry);
        }
        return suspected;
    }
}
