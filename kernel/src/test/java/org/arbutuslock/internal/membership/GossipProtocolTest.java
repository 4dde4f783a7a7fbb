package org.arbutuslock.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.internal.membership.GossipSimulation.Member;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.Test;

/** Random schedules of faults against the promises of the membership protocol. */
public final class GossipProtocolTest {
    private static final int SEEDS = 200;
    private static final Duration CONVERGENCE = Duration.ofSeconds(20);
    private static final Duration REMOVAL = Duration.ofSeconds(30);
    private static final Duration DRAIN_NOTICE = Duration.ofSeconds(3);

    private static GossipSimulation createFleet(long seed, GossipSettings settings) {
        GossipSimulation fleet = new GossipSimulation(seed, settings);
        for (String region : List.of("west", "east")) {
            for (String zone : List.of("a", "b")) {
                for (int number = 1; number <= 3; number++) {
                    fleet.start(region + "-" + zone + number, region, region + "-" + zone, 1);
                }
            }
        }
        fleet.runFor(Duration.ofSeconds(10));
        assertEquals(fleet.difference(), "");
        return fleet;
    }

    private static List<Member> members(GossipSimulation fleet) {
        return new ArrayList<>(fleet.mMembers.values());
    }

    private static Member anyOf(GossipSimulation fleet) {
        List<Member> members = members(fleet);
        return members.get(fleet.mRandom.nextInt(members.size()));
    }

    /** Guards against lost, reverted and unrepaired changes under mixed faults. */
    @Test
    public void should_converge_after_random_faults() {
        Seeds.run(
                SEEDS,
                seed -> {
                    GossipSimulation fleet = createFleet(seed, GossipSettings.DEFAULT);
                    fleet.mLoss = 0.1;
                    fleet.mDuplication = 0.1;
                    fleet.mMostDelayMillis = 300;
                    for (int step = 0; step < 12; step++) {
                        disturb(fleet, step);
                        fleet.runFor(Duration.ofSeconds(2));
                    }
                    fleet.mCut = (from, to) -> false;
                    members(fleet).forEach(Member::resume);
                    fleet.mLoss = 0;
                    fleet.runFor(CONVERGENCE.plus(REMOVAL));
                    assertEquals(fleet.difference(), "");
                });
    }

    private static void disturb(GossipSimulation fleet, int step) {
        Member member = anyOf(fleet);
        switch (fleet.mRandom.nextInt(7)) {
            case 0 -> member.setWeight(step);
            case 1 -> member.mPaused = true;
            case 2 -> members(fleet).forEach(Member::resume);
            case 3 -> fleet.mCut = (from, to) -> from == member && to.name().endsWith("1");
            case 4 -> fleet.mCut = (from, to) -> !from.region().equals(to.region());
            case 5 -> fleet.mCut = (from, to) -> false;
            default -> {
                NodeRecord local = member.mProtocol.localRecord();
                fleet.kill(local.node());
                fleet.start(
                        local.node(),
                        local.region(),
                        local.availabilityZone(),
                        local.incarnation() + 1);
            }
        }
    }

    /** Guards against removing a live node because some links to it fail in one direction. */
    @Test
    public void should_not_suspect_a_node_that_others_reach() {
        Seeds.run(
                SEEDS,
                seed ->
                        assertEquals(
                                suspicionsWithOneWayPartition(seed, GossipSettings.DEFAULT), 0));
    }

    /** Guards against a check above that passes for a protocol without indirect checks. */
    @Test
    public void should_suspect_a_reachable_node_without_indirect_checks() {
        GossipSettings direct = GossipSettings.DEFAULT.withIndirectChecks(0);
        assertTrue(suspicionsWithOneWayPartition(Seeds.upTo(1)[0], direct) > 0);
    }

    private static int suspicionsWithOneWayPartition(long seed, GossipSettings settings) {
        GossipSimulation fleet = createFleet(seed, settings);
        Member victim = anyOf(fleet);
        String zone = victim.mProtocol.localRecord().availabilityZone();
        Member peer =
                members(fleet).stream()
                        .filter(other -> other != victim && other.name().startsWith(zone))
                        .findFirst()
                        .orElseThrow();
        boolean inbound = fleet.mRandom.nextBoolean();
        fleet.mCut =
                (from, to) -> inbound ? from == peer && to == victim : from == victim && to == peer;
        fleet.runFor(Duration.ofSeconds(30));
        members(fleet).forEach(member -> assertEquals(member.mLeftNodes, List.of()));
        return members(fleet).stream().mapToInt(member -> member.mSuspectedNodes.size()).sum();
    }

    /** Guards against removing a node that hears nobody but is heard, or that was paused. */
    @Test
    public void should_keep_a_node_that_is_deaf_or_paused_for_a_while() {
        Seeds.run(
                SEEDS,
                seed -> {
                    GossipSimulation fleet = createFleet(seed, GossipSettings.DEFAULT);
                    Member deaf = anyOf(fleet);
                    Member paused = anyOf(fleet);
                    fleet.mCut = (from, to) -> to == deaf;
                    paused.mPaused = true;
                    fleet.runFor(Duration.ofSeconds(9));
                    paused.resume();
                    fleet.runFor(Duration.ofSeconds(21));
                    for (Member member : members(fleet)) {
                        assertTrue(member == deaf || member.mLeftNodes.isEmpty(), member.name());
                    }
                });
    }

    /** Guards against dead nodes that stay, and against old copies that revive them. */
    @Test
    public void should_remove_dead_nodes_everywhere() {
        Seeds.run(
                SEEDS,
                seed -> {
                    GossipSimulation fleet = createFleet(seed, GossipSettings.DEFAULT);
                    Member sleeper = anyOf(fleet);
                    sleeper.mPaused = true;
                    Member dead = anyOf(fleet);
                    fleet.kill(dead.name());
                    fleet.runFor(REMOVAL);
                    for (Member member : members(fleet)) {
                        boolean knows = member.mView.containsKey(dead.name());
                        assertTrue(member == sleeper || !knows, member.name());
                    }
                    sleeper.resume();
                    fleet.runFor(CONVERGENCE);
                    assertEquals(fleet.difference(), "");
                });
    }

    /** Guards against a departing node that gets new work because its notice was lost. */
    @Test
    public void should_tell_everybody_of_a_drain_in_time() {
        Seeds.run(
                SEEDS,
                seed -> {
                    GossipSimulation fleet = createFleet(seed, GossipSettings.DEFAULT);
                    fleet.mLoss = 0.1;
                    fleet.mMostDelayMillis = 50;
                    Member paused = anyOf(fleet);
                    paused.mPaused = true;
                    Member leaving = anyOf(fleet);
                    if (leaving == paused) {
                        return;
                    }
                    leaving.handle(leaving.mProtocol.drain());
                    fleet.runFor(DRAIN_NOTICE);
                    for (Member member : members(fleet)) {
                        NodeRecord known = member.mView.get(leaving.name());
                        assertTrue(member == paused || known.draining(), member.name());
                    }
                });
    }

    /** Guards against records and tombstones that come back when regions meet again. */
    @Test
    public void should_agree_after_regions_were_cut() {
        Seeds.run(
                SEEDS,
                seed -> {
                    GossipSimulation fleet = createFleet(seed, GossipSettings.DEFAULT);
                    fleet.mCut = (from, to) -> !from.region().equals(to.region());
                    Member dead = anyOf(fleet);
                    fleet.kill(dead.name());
                    anyOf(fleet).setWeight(7);
                    fleet.runFor(Duration.ofSeconds(35));
                    for (Member member : members(fleet)) {
                        member.mLeftNodes.remove(dead.name());
                        assertEquals(member.mLeftNodes, List.of(), member.name());
                    }
                    fleet.mCut = (from, to) -> false;
                    fleet.runFor(CONVERGENCE);
                    assertEquals(fleet.difference(), "");
                    assertFalse(fleet.mMembers.isEmpty());
                });
    }
}
