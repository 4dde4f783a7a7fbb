package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.store.StoreEntry;
import org.arbutuslock.internal.testing.FakePlatformStore;
import org.arbutuslock.internal.testing.FakePlatformStore.Fault;
import org.arbutuslock.internal.testing.SimulatedTimer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against wrong responses to operators and against lost or reverted changes when the store
 * is unavailable, loses requests or responses, applies writes late or is restored from a backup.
 */
public class ConfigurationLogTest {
    private static final UUID ID = new UUID(1, 1);
    private static final UUID OTHER_ID = new UUID(2, 2);

    private SimulatedTimer mTimer;
    private FakePlatformStore mStore;
    private Deque<Fault> mWriteFaults;
    private boolean mDown;
    private ConfigurationHolder mHolder;
    private ConfigurationLog mLog;

    @BeforeMethod
    public void createLog() {
        mTimer = new SimulatedTimer();
        mWriteFaults = new ArrayDeque<>();
        mDown = false;
        mStore = new FakePlatformStore(mTimer, this::chooseFault, () -> Duration.ofMillis(2));
        mHolder = new ConfigurationHolder();
        mLog = logFor(mHolder);
    }

    @Test
    public void should_accept_a_change_once_when_it_is_submitted_twice() {
        assertEquals(submit(mLog, ID, 0), new SubmitResult.Accepted(1));
        assertEquals(submit(mLog, ID, 0), new SubmitResult.Accepted(1));
        assertEquals(
                submit(logFor(new ConfigurationHolder()), ID, 0), new SubmitResult.Accepted(1));
        assertEquals(mStore.calls("write"), 1);
        assertEquals(mStore.entries().size(), 1);
        assertEquals(mHolder.current().revision(), 1);
    }

    @Test
    public void should_show_both_versions_and_the_author_of_the_winner() {
        assertEquals(submit(mLog, ID, 0), new SubmitResult.Accepted(1));
        for (ConfigurationLog log : List.of(mLog, logFor(new ConfigurationHolder()))) {
            SubmitResult.Conflict conflict = (SubmitResult.Conflict) submit(log, OTHER_ID, 0);
            assertEquals(conflict.winner().changeId(), ID);
            assertEquals(conflict.winner().author(), "ada");
            assertEquals(conflict.submitted().changeId(), OTHER_ID);
        }
    }

    @Test
    public void should_report_all_errors_without_a_call() {
        SubmitResult.Invalid invalid =
                (SubmitResult.Invalid)
                        await(mLog.submit(ID, "", 0, List.of(), deadlineAfterSeconds(5)));
        assertEquals(
                invalid.errors().stream().map(ValidationError::field).toList(),
                List.of("operations", "author"));
        assertEquals(mStore.calls("write") + mStore.calls("list"), 0);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {List.of(Fault.RESPONSE_LOST)},
            {List.of(Fault.REQUEST_LOST, Fault.REQUEST_LOST)},
            {List.of(Fault.APPLIED_LATER, Fault.APPLIED_LATER)},
            {List.of(Fault.REQUEST_LOST, Fault.DOWN)},
            {List.of(Fault.SLOW)},
        };
    }

    @Test(dataProvider = "faults")
    public void should_resolve_a_lost_response(List<Fault> faults) {
        mWriteFaults.addAll(faults);
        assertEquals(submit(mLog, ID, 0), new SubmitResult.Accepted(1));
        mTimer.runFor(Duration.ofSeconds(10));
        assertEquals(mStore.entries().size(), 1);
    }

    /**
     * A create whose response was lost and that arrives late must not count as failed. Here another
     * change takes the key first.
     */
    @Test
    public void should_report_a_conflict_when_another_change_overtakes_a_late_write() {
        mWriteFaults.add(Fault.APPLIED_LATER);
        CompletableFuture<SubmitResult> late = start(mLog, ID, 0);
        mTimer.runFor(Duration.ofMillis(100));
        assertEquals(
                submit(logFor(new ConfigurationHolder()), OTHER_ID, 0),
                new SubmitResult.Accepted(1));
        assertTrue(await(late) instanceof SubmitResult.Conflict);
    }

    @Test
    public void should_refuse_changes_at_once_while_the_store_is_down() {
        mDown = true;
        CompletableFuture<SubmitResult> result = start(mLog, ID, 0);
        mTimer.runFor(Duration.ofMillis(50));
        assertTrue(result.getNow(null) instanceof SubmitResult.StoreUnavailable);
    }

    @Test
    public void should_respond_unknown_at_the_deadline_and_find_the_change_later() {
        mWriteFaults.add(Fault.APPLIED_LATER);
        CompletableFuture<SubmitResult> result =
                mLog.submit(ID, "ada", 0, operations(ID), deadlineAfterSeconds(0) + 250_000_000L);
        mTimer.runFor(Duration.ofMillis(249));
        assertNull(result.getNow(null));
        mTimer.runFor(Duration.ofMillis(1));
        assertEquals(result.getNow(null), new SubmitResult.Unknown(ID));
        assertEquals(await(mLog.lookup(ID)), new LookupResult.NotFound(1, 0));
        mTimer.runFor(Duration.ofSeconds(5));
        assertEquals(await(mLog.lookup(ID)), new LookupResult.Accepted(1));
    }

    @Test
    public void should_follow_across_ended_stalled_and_incomplete_watches() throws Exception {
        ConfigurationHolder follower = new ConfigurationHolder();
        submit(mLog, new UUID(9, 1), 0);
        try (AutoCloseable following = logFor(follower).follow()) {
            mTimer.runFor(Duration.ofSeconds(1));
            submitAndExpect(follower, 2, Duration.ofMillis(100));
            mStore.endWatches();
            submitAndExpect(follower, 3, Duration.ofSeconds(1));
            mStore.stallWatches();
            submitAndExpect(follower, 4, Duration.ofSeconds(10));
            mTimer.runFor(Duration.ofSeconds(20));
            submitAndExpect(follower, 5, Duration.ofMillis(100));
        }
    }

    @Test
    public void should_load_a_snapshot_and_the_changes_after_it() throws Exception {
        List<ConfigurationOperation> tenants = new ArrayList<>();
        for (int index = 0; index < 19_000; index++) {
            String name = ("team-" + index + "-").repeat(3);
            tenants.add(
                    new ConfigurationOperation.PutTenant(
                            new TenantDefinition(name.substring(0, name.length() - 1), 7)));
        }
        for (int part = 0; part < 3; part++) {
            List<ConfigurationOperation> operations = renamed(tenants, "p" + part);
            await(mLog.submit(new UUID(5, part), "ada", part, operations, deadlineAfterSeconds(5)));
        }
        mWriteFaults.add(Fault.RESPONSE_LOST);
        SnapshotResult.Written written = (SnapshotResult.Written) await(mLog.compact(2));
        assertTrue(written.parts() > 1);
        assertEquals(await(mLog.compact(2)), new SnapshotResult.NotNeeded(3));
        submit(mLog, ID, 3);
        ConfigurationHolder restarted = new ConfigurationHolder();
        int lists = mStore.calls("list");
        assertTrue(await(logFor(restarted).catchUp()) instanceof CatchUpResult.Current);
        assertEquals(mStore.calls("list"), lists + 1);
        assertEquals(restarted.current().revisionOf(new UUID(5, 0)).orElseThrow(), 1);
        assertEquals(restarted.current().tenantCount(), 57_001);
        assertTrue(
                Arrays.deepEquals(
                        SnapshotCodec.encode(restarted.current()).toArray(),
                        SnapshotCodec.encode(mHolder.current()).toArray()));
    }

    @Test
    public void should_refuse_a_store_restored_from_an_older_backup() {
        submit(mLog, new UUID(9, 1), 0);
        Map<String, StoreEntry> backup = new TreeMap<>(mStore.entries());
        submit(mLog, new UUID(9, 2), 1);
        mStore.restore(backup);
        assertEquals(await(mLog.catchUp()), new CatchUpResult.StoreBehind(2));
        assertTrue(submit(mLog, ID, 2) instanceof SubmitResult.StoreUnavailable);
        assertTrue(submit(mLog, ID, 1) instanceof SubmitResult.StoreUnavailable);
        submit(logFor(new ConfigurationHolder()), OTHER_ID, 1);
        assertTrue(await(mLog.catchUp()) instanceof CatchUpResult.Refused);
        assertTrue(submit(mLog, ID, 2) instanceof SubmitResult.StoreUnavailable);
        assertEquals(mHolder.current().revisionOf(new UUID(9, 2)).orElseThrow(), 2);
    }

    private void submitAndExpect(ConfigurationHolder follower, long revision, Duration within) {
        submit(mLog, new UUID(9, revision), revision - 1);
        mTimer.runFor(within);
        assertEquals(follower.current().revision(), revision);
    }

    private Fault chooseFault(String kind) {
        if (mDown) {
            return Fault.DOWN;
        }
        Fault planned = kind.equals("write") ? mWriteFaults.poll() : null;
        return planned == null ? Fault.NONE : planned;
    }

    private ConfigurationLog logFor(ConfigurationHolder holder) {
        return new ConfigurationLog(
                mStore, holder, mTimer.clock(), mTimer, new SplittableRandom(1));
    }

    private SubmitResult submit(ConfigurationLog log, UUID changeId, long base) {
        return await(start(log, changeId, base));
    }

    private CompletableFuture<SubmitResult> start(ConfigurationLog log, UUID changeId, long base) {
        return log.submit(changeId, "ada", base, operations(changeId), deadlineAfterSeconds(8));
    }

    private long deadlineAfterSeconds(long seconds) {
        return mTimer.clock().nanoTime() + Duration.ofSeconds(seconds).toNanos();
    }

    private <T> T await(CompletableFuture<T> future) {
        for (int step = 0; step < 10_000 && !future.isDone(); step++) {
            mTimer.runFor(Duration.ofMillis(1));
        }
        return future.getNow(null);
    }

    private static List<ConfigurationOperation> operations(UUID changeId) {
        return List.of(
                new ConfigurationOperation.PutTenant(
                        new TenantDefinition("team-" + changeId.getLeastSignificantBits(), 1)));
    }

    private static List<ConfigurationOperation> renamed(
            List<ConfigurationOperation> tenants, String suffix) {
        return tenants.stream()
                .map(operation -> ((ConfigurationOperation.PutTenant) operation).tenant())
                .<ConfigurationOperation>map(
                        tenant ->
                                new ConfigurationOperation.PutTenant(
                                        new TenantDefinition(tenant.name() + suffix, 7)))
                .toList();
    }
}
