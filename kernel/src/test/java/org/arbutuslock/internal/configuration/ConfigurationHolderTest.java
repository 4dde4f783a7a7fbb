package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.UUID;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.Test;

/**
 * Guards against a configuration that reverts, skips a change or is replaced by an invalid one when
 * changes arrive twice, out of order, damaged or from another history.
 */
public class ConfigurationHolderTest {
    @Test
    public void should_keep_the_last_good_configuration() {
        ConfigurationHolder holder = new ConfigurationHolder();
        assertEquals(holder.apply(Samples.tenantChange(1)), new ApplyResult.Applied(1));
        assertEquals(holder.apply(Samples.tenantChange(2)), new ApplyResult.Applied(2));
        Configuration good = holder.current();
        assertEquals(holder.apply(Samples.tenantChange(1)), new ApplyResult.AlreadyApplied(2));
        assertEquals(holder.apply(Samples.tenantChange(4)), new ApplyResult.Missing(2, 4));
        assertEquals(
                holder.apply(Configuration.EMPTY.apply(Samples.tenantChange(1))),
                new ApplyResult.LowerRevision(2, 1));
        assertTrue(holder.applyEncoded(new byte[] {1}) instanceof ApplyResult.Unparsable);
        ConfigurationChange other =
                new ConfigurationChange(
                        2, new UUID(8, 8), "eve", 0, 1, Samples.everyOperation().subList(0, 1));
        assertTrue(holder.apply(other) instanceof ApplyResult.OtherHistory);
        Configuration otherHistory =
                Configuration.EMPTY.apply(Samples.tenantChange(1)).apply(other);
        assertTrue(holder.apply(otherHistory) instanceof ApplyResult.OtherHistory);
        assertSame(holder.current(), good);
    }

    @Test
    public void should_remember_the_ids_of_recent_changes_only() {
        RecentChanges recent = RecentChanges.startingAfter(0);
        for (long revision = 1; revision <= RecentChanges.MAXIMUM_CHANGES + 1; revision++) {
            recent = recent.append(new UUID(7, revision));
        }
        assertEquals(recent.revisionOf(new UUID(7, 257)).orElseThrow(), 257);
        assertEquals(
                recent.idOf(RecentChanges.MAXIMUM_CHANGES + 1).getLeastSignificantBits(),
                RecentChanges.MAXIMUM_CHANGES + 1);
        assertTrue(recent.revisionOf(new UUID(7, 256)).isEmpty());
    }

    @Test
    public void should_hold_the_tenants_that_a_plain_map_holds() {
        Seeds.run(20, ConfigurationHolderTest::checkTenants);
    }

    private static void checkTenants(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, TenantDefinition> expected = new HashMap<>();
        TenantTable table = TenantTable.EMPTY;
        for (int step = 0; step < 2000; step++) {
            String name = "t" + random.nextInt(1000) + "-".repeat(random.nextInt(2) * 50);
            TenantDefinition tenant = new TenantDefinition(name, random.nextInt(1, 101));
            boolean delete = random.nextInt(3) == 0;
            table = delete ? table.without(name) : table.with(tenant);
            expected.compute(name, (key, value) -> delete ? null : tenant);
            assertEquals(table.find(name).orElse(null), expected.get(name));
        }
        Map<String, TenantDefinition> actual = new HashMap<>();
        table.forEach(tenant -> actual.put(tenant.name(), tenant));
        assertEquals(actual, expected);
        assertEquals(table.count(), expected.size());
    }
}
