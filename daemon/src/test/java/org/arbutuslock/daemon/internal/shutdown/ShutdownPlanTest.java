package org.arbutuslock.daemon.internal.shutdown;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.internal.settings.SettingsLoader;
import org.arbutuslock.internal.settings.SettingsResult;
import org.testng.annotations.Test;

/** Guards against a shutdown that takes longer than the host waits before it kills the process. */
public class ShutdownPlanTest {
    @Test
    public void should_end_requests_only_in_the_last_sixth_of_the_usual_time() throws Exception {
        ShutdownPlan plan = plan("6", 30);
        assertEquals(plan.notice(), Duration.ofMillis(2_500));
        assertTrue(plan.drainLimit().toMillis() >= 5_000, plan.toString());
        assertTrue(plan.drainLimit().toMillis() <= 5_500, plan.toString());
        assertTrue(plan.stopLimit().toMillis() < 6_000, plan.toString());
    }

    /** Guards against a notice period that alone is longer than the time that the host gives. */
    @Test
    public void should_keep_the_order_of_the_limits_when_the_host_gives_little_time()
            throws Exception {
        for (String seconds : new String[] {"1", "2", "2.5", "3", "4", "6", "10", "7200"}) {
            ShutdownPlan plan = plan(seconds, 30);
            long total = (long) (Double.parseDouble(seconds) * 1_000);
            assertTrue(plan.notice().toMillis() > 0, plan.toString());
            assertTrue(plan.notice().compareTo(plan.drainLimit()) < 0, plan.toString());
            assertTrue(plan.drainLimit().compareTo(plan.stopLimit()) < 0, plan.toString());
            assertTrue(plan.stopLimit().toMillis() < total, plan.toString());
        }
    }

    @Test
    public void should_wait_no_longer_for_requests_than_configured() throws Exception {
        assertEquals(plan("3600", 7).drainLimit(), Duration.ofMillis(2_500 + 7_000));
    }

    private static ShutdownPlan plan(String stopSeconds, int drainSeconds) throws Exception {
        String text =
                """
                {"nodeName": "n", "region": "r", "availabilityZone": "z",
                 "callers": {"address": "127.0.0.1:1"}, "peers": {"address": "127.0.0.1:2"},
                 "announcements": {"address": "127.0.0.1:3"},
                 "operators": {"address": "127.0.0.1:4"}, "metrics": {"address": "127.0.0.1:5"},
                 "store": {"address": "127.0.0.1:6"}, "limits": {"drainSeconds": %d},
                 "bounds": {"stopSeconds": %s}}
                """
                        .formatted(drainSeconds, stopSeconds);
        Path file = Files.createTempFile("node", ".json");
        Files.writeString(file, text);
        SettingsResult loaded = new SettingsLoader().load(file);
        Files.delete(file);
        if (loaded instanceof SettingsResult.Loaded(NodeSettings settings)) {
            return ShutdownPlan.of(settings);
        }
        throw new AssertionError(loaded);
    }
}
