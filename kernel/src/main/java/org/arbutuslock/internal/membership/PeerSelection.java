package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** Chooses random nodes and relays. Prefers nodes that are not suspected. */
final class PeerSelection {
    /** Number of salts of the rendezvous hash; the version of a record selects one. */
    static final int SALTS = 4;

    /** Relays of each availability zone. */
    static final int RELAYS_PER_ZONE = 2;

    /** Relays of each region; one copy crosses the link to each other region. */
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

    /** Chooses among the nodes that are the only ones of their region. */
    Optional<MemberEntry> ofLoneNodes() {
        List<MemberEntry> lone = new ArrayList<>();
        for (String region : mTable.regions()) {
            if (mTable.region(region).size() == 1 && !region.equals(mRegion)) {
                lone.add(mTable.region(region).getFirst());
            }
        }
        return pick(lone, entry -> true);
    }

    /** Chooses nodes of this node's availability zone for a push. */
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
     * Chooses nodes that check a third one: of its availability zone, of this one, and of another
     * region when the two differ, so that a cut between two zones is not a death.
     */
    List<MemberEntry> helpers(MemberEntry target, int count) {
        NodeRecord record = target.record();
        Set<MemberEntry> chosen = new LinkedHashSet<>();
        Predicate<MemberEntry> free = entry -> entry != target && !chosen.contains(entry);
        List<MemberEntry> near = mTable.zone(record.region(), record.availabilityZone());
        pick(near, free).ifPresent(chosen::add);
        pick(ownZone(), free).ifPresent(chosen::add);
        Predicate<MemberEntry> elsewhere =
                isOfOwnZone(target)
                        ? entry -> !isOfOwnZone(entry) && isOfOwnRegion(entry)
                        : entry -> !isOfOwnRegion(entry);
        pick(mTable.live(), free.and(elsewhere)).ifPresent(chosen::add);
        while (chosen.size() < count) {
            Optional<MemberEntry> other = pick(mTable.live(), free);
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
