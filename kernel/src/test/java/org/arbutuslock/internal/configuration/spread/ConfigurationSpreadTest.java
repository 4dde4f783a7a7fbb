package org.arbutuslock.internal.configuration.spread;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationChangeCodec;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.configuration.SnapshotCodec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against wrong decisions of a single node: being a watcher without a valid lease, and
 * applying changes or snapshots of a peer that are malformed or out of order.
 */
public class ConfigurationSpreadTest {
    private static final SpreadMessage.Sender PEER = new SpreadMessage.Sender("mona-2", "mona-2");
    private static final SpreadMessage.Origin ORIGIN =
            new SpreadMessage.Origin("kingston", "kgn-mona");

    private ManualClock mClock;
    private ConfigurationHolder mHolder;
    private ConfigurationSpread mSpread;

    @BeforeMethod
    public void start() {
        mClock = new ManualClock();
        mHolder = new ConfigurationHolder();
        NodeIdentity self = new NodeIdentity("mona-1", "mona-1", "kingston", "kgn-mona");
        mSpread = new ConfigurationSpread(self, mHolder::current, mClock, new SplittableRandom(1));
    }

    private static ConfigurationChange change(long revision) {
        return new ConfigurationChange(
                revision,
                new UUID(7, revision),
                "ada",
                0,
                revision - 1,
                List.of(
                        new ConfigurationOperation.PutTenant(
                                new TenantDefinition("team-" + revision, 1))));
    }

    private static SpreadMessage pushed(long revision) {
        byte[] encoded = ConfigurationChangeCodec.encode(change(revision));
        return new SpreadMessage.Changes(
                PEER, revision, SpreadMessage.NO_ID, ORIGIN, false, List.of(encoded));
    }

    private void carryOut(List<SpreadAction> actions) {
        for (SpreadAction action : actions) {
            if (action instanceof SpreadAction.ApplyChange apply) {
                mHolder.apply(apply.change());
            }
        }
    }

    private static boolean has(List<SpreadAction> actions, Class<?> type) {
        return actions.stream().anyMatch(type::isInstance);
    }

    @Test
    public void should_apply_in_order_what_arrives_out_of_order() {
        carryOut(mSpread.receive(pushed(3)));
        carryOut(mSpread.receive(pushed(2)));
        assertEquals(mSpread.status().waitingChanges(), 2);
        carryOut(mSpread.receive(pushed(1)));
        assertEquals(mHolder.current().revision(), 3);
        assertEquals(mSpread.status().waitingChanges(), 0);
    }

    @Test
    public void should_refuse_a_malformed_change_and_show_it() {
        carryOut(mSpread.receive(pushed(1)));
        SpreadMessage malformed =
                new SpreadMessage.Changes(
                        PEER, 2, SpreadMessage.NO_ID, ORIGIN, false, List.of(new byte[] {1}));
        assertTrue(has(mSpread.receive(malformed), SpreadAction.Refused.class));
        assertEquals(mHolder.current().revision(), 1);
        assertTrue(mSpread.status().lastRefusal().contains("mona-2: byte"));
    }

    @Test
    public void should_refuse_a_change_of_another_history() {
        carryOut(mSpread.receive(pushed(1)));
        SpreadMessage other =
                new SpreadMessage.Changes(
                        PEER,
                        2,
                        new UUID(8, 8),
                        ORIGIN,
                        false,
                        List.of(ConfigurationChangeCodec.encode(change(2))));
        assertTrue(has(mSpread.receive(other), SpreadAction.Refused.class));
        assertEquals(mHolder.current().revision(), 1);
    }

    @Test
    public void should_refuse_a_snapshot_below_the_announced_revision() {
        carryOut(mSpread.receive(pushed(1)));
        mClock.advance(Duration.ofSeconds(3));
        mSpread.tick();
        mSpread.receive(new SpreadMessage.Digest(PEER, 50, SpreadMessage.NO_ID, 41, 0, false));
        byte[] part = SnapshotCodec.encodeForPeers(mHolder.current().apply(change(2))).get(0);
        List<SpreadAction> actions =
                mSpread.receive(new SpreadMessage.SnapshotPart(PEER, 2, 0, 1, part));
        assertTrue(has(actions, SpreadAction.Refused.class));
        assertFalse(has(actions, SpreadAction.ApplySnapshot.class));
    }

    @Test
    public void should_not_count_itself_as_watcher_after_a_pause() {
        mClock.advance(Duration.ofSeconds(3));
        assertTrue(has(mSpread.tick(), SpreadAction.ListSlots.class));
        assertTrue(has(mSpread.slotsListed(Optional.of(Map.of())), SpreadAction.ClaimSlot.class));
        WatcherSlots.Claim held = new WatcherSlots.Claim.Held(5);
        assertTrue(has(mSpread.slotClaimed(0, held), SpreadAction.StartWatching.class));
        assertTrue(mSpread.status().watching());
        mClock.advance(WatcherElection.LEASE_DURATION);
        assertFalse(mSpread.status().watching());
        // The result of a renewal that was sent before the pause does not extend the lease.
        List<SpreadAction> actions =
                new ArrayList<>(mSpread.leaseRenewed(5, WatcherSlots.Renewal.RENEWED));
        assertTrue(has(actions, SpreadAction.StopWatching.class));
        assertFalse(mSpread.status().watching());
    }

    @Test
    public void should_not_call_the_store_while_all_slots_are_taken_and_polled_recently() {
        mClock.advance(Duration.ofSeconds(3));
        mSpread.tick();
        mSpread.slotsListed(Optional.of(Map.of(0, 1L, 1, 1L, 2, 1L)));
        for (int tick = 0; tick < 20; tick++) {
            mClock.advance(ConfigurationSpread.TICK_INTERVAL);
            assertFalse(has(mSpread.tick(), SpreadAction.ListSlots.class));
        }
    }

    /** Guards against watchers that never write a snapshot or write one after every change. */
    @Test
    public void should_compact_once_after_enough_changes() {
        CompactionSchedule schedule = new CompactionSchedule(new SplittableRandom(1));
        long enough = ConfigurationSpread.CHANGES_PER_SNAPSHOT;
        long later = Duration.ofSeconds(120).toNanos();
        assertFalse(schedule.isDue(enough - 1, later));
        schedule.isDue(enough, later);
        assertTrue(schedule.isDue(enough, 2 * later));
        assertFalse(schedule.isDue(enough + 1, 4 * later));
    }

    /**
     * Guards against a zone that stays without watchers after restoring a backup, because the slots
     * in the backup belong to leases that no node holds any more.
     */
    @Test
    public void should_take_over_a_slot_only_while_the_zone_is_unwatched() {
        mClock.advance(Duration.ofSeconds(3));
        mSpread.tick();
        Map<Integer, Long> taken = Map.of(0, 4L, 1, 4L, 2, 4L);
        assertFalse(has(mSpread.slotsListed(Optional.of(taken)), SpreadAction.ClaimSlot.class));
        mClock.advance(Duration.ofSeconds(31));
        mSpread.tick();
        // The slots may have been claimed just before, so they must stay the same for one lease.
        assertFalse(has(mSpread.slotsListed(Optional.of(taken)), SpreadAction.ClaimSlot.class));
        mClock.advance(WatcherElection.LEASE_DURATION);
        mSpread.tick();
        List<SpreadAction> actions = mSpread.slotsListed(Optional.of(taken));
        assertTrue(
                actions.stream()
                        .anyMatch(
                                action ->
                                        action instanceof SpreadAction.ClaimSlot claim
                                                && claim.expectedVersion() == 4));
    }
}
