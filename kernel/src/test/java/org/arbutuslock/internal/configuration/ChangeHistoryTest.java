package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.internal.testing.FakePlatformStore;
import org.arbutuslock.internal.testing.SimulatedTimer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a rollback to entities that were never in force because an earlier revision was
 * rebuilt wrongly.
 */
public class ChangeHistoryTest {
    private SimulatedTimer mTimer;
    private FakePlatformStore mStore;
    private ConfigurationHolder mHolder;
    private ConfigurationLog mLog;

    @BeforeMethod
    public void writeHistory() {
        mTimer = new SimulatedTimer();
        mStore =
                new FakePlatformStore(
                        mTimer, kind -> FakePlatformStore.Fault.NONE, () -> Duration.ofMillis(2));
        mHolder = new ConfigurationHolder();
        mLog = new ConfigurationLog(mStore, mHolder, mTimer.clock(), mTimer, newRandom());
        submit(Samples.everyOperation().subList(0, 4));
        submit(List.of(tenant("team-1", 9)));
        await(mLog.compact(1));
        submit(List.of(new ConfigurationOperation.DeleteRoute("orders")));
        await(mLog.compact(1));
        submit(
                List.of(
                        new ConfigurationOperation.DeleteTenant("team-1"),
                        new ConfigurationOperation.DeleteService("orders")));
    }

    /** Covers revisions before, at and after both snapshots that the store keeps. */
    @Test
    public void should_turn_the_current_entities_into_those_of_any_earlier_revision() {
        Configuration current = mHolder.current();
        Configuration expected = Configuration.EMPTY;
        for (long revision = 0; revision <= current.revision(); revision++) {
            if (revision > 0) {
                expected = expected.apply(read(revision));
            }
            Configuration rebuilt = value(mLog.history().rebuild(revision));
            assertTrue(ConfigurationDifference.between(rebuilt, expected).isEmpty());
            var operations = ConfigurationDifference.between(current, expected);
            if (!operations.isEmpty()) {
                assertEquals(ConfigurationValidator.validate(current, operations), List.of());
                Configuration after =
                        current.apply(
                                Samples.change(
                                        current.revision() + 1,
                                        operations.toArray(ConfigurationOperation[]::new)));
                assertTrue(ConfigurationDifference.between(after, expected).isEmpty());
            }
        }
    }

    @Test
    public void should_list_the_newest_changes_first_and_name_a_missing_one() {
        ChangeHistory.Page page = value(mLog.history().list(3, 2));
        assertEquals(
                page.changes().stream().map(ConfigurationChange::revision).toList(),
                List.of(3L, 2L));
        assertEquals(page.oldestRevision(), 1);
        Result<Configuration> missing = await(mLog.history().rebuild(7));
        assertTrue(missing.toString().contains("the log has no revision 5"), missing.toString());
    }

    private ConfigurationChange read(long revision) {
        return value(mLog.history().read(revision, revision)).getFirst();
    }

    private void submit(List<ConfigurationOperation> operations) {
        long base = mHolder.current().revision();
        long deadline = mTimer.clock().nanoTime() + Duration.ofSeconds(5).toNanos();
        assertEquals(
                await(mLog.submit(new UUID(1, base), "ada", base, operations, deadline)),
                new SubmitResult.Accepted(base + 1));
    }

    private static ConfigurationOperation tenant(String name, int weight) {
        return new ConfigurationOperation.PutTenant(new TenantDefinition(name, weight));
    }

    private static SplittableRandom newRandom() {
        return new SplittableRandom(1);
    }

    private <T> T value(CompletableFuture<Result<T>> future) {
        return ((Result.Success<T>) await(future)).value();
    }

    private <T> T await(CompletableFuture<T> future) {
        for (int step = 0; step < 10_000 && !future.isDone(); step++) {
            mTimer.runFor(Duration.ofMillis(1));
        }
        return future.getNow(null);
    }
}
