package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;
import org.testng.annotations.Test;

/** Guards against nodes that together retry more than the budget of the fleet allows. */
public class FleetRetryPolicyTest {
    private static final double RATIO = 0.2;
    private static final int EXTRA = 56;
    private static final int WINDOW_SECONDS = 10;
    private static final int SEEDS = 50;

    @Test
    public void should_keep_the_budget_of_the_fleet_in_every_window() {
        long first = Long.getLong("arbutuslock.seed", 1);
        for (long seed = first; seed < first + SEEDS; seed++) {
            play(new SplittableRandom(seed), 24 + (int) (seed % 50), "seed " + seed);
        }
    }

    /** Every node retries as often as it may, at rates that change within seconds. */
    private static void play(SplittableRandom random, int nodes, String message) {
        ManualClock clock = new ManualClock();
        List<FleetRetryPolicy> fleet = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            fleet.add(new FleetRetryPolicy(clock, settings(), () -> nodes));
        }
        Deque<int[]> seconds = new ArrayDeque<>();
        for (int step = 0; step < 400; step++) {
            int requests = 0;
            int retries = 0;
            int rate = random.nextInt(6);
            for (FleetRetryPolicy policy : fleet) {
                for (int index = 0; index < random.nextInt(rate + 1); index++) {
                    policy.firstAttempt("orders");
                    requests++;
                }
                while (policy.allowRetry("orders")) {
                    retries++;
                }
            }
            seconds.add(new int[] {requests, retries});
            if (seconds.size() > 2 * WINDOW_SECONDS * 4) {
                seconds.remove();
            }
            checkWindow(new ArrayList<>(seconds), message + " step " + step);
            clock.advance(Duration.ofMillis(250));
        }
    }

    /** The requests of the window, the one before it or half a window before it count. */
    private static void checkWindow(List<int[]> steps, String message) {
        int window = WINDOW_SECONDS * 4;
        int end = steps.size();
        int requests = 0;
        for (int back : new int[] {0, window / 2, window}) {
            requests = Math.max(requests, sum(steps, end - back - window, end - back, 0));
        }
        int retries = sum(steps, end - window, end, 1);
        assertTrue(
                retries <= RATIO * requests + EXTRA,
                message + ": " + retries + " retries for " + requests + " requests");
    }

    private static int sum(List<int[]> steps, int from, int until, int column) {
        int total = 0;
        for (int index = Math.max(0, from); index < Math.max(0, until); index++) {
            total += steps.get(index)[column];
        }
        return total;
    }

    @Test
    public void should_divide_the_fixed_part_by_the_most_nodes_ever_known() {
        ManualClock clock = new ManualClock();
        int[] known = {100};
        FleetRetryPolicy policy = new FleetRetryPolicy(clock, settings(), () -> known[0]);
        assertFalse(policy.allowRetry("orders"));
        known[0] = 1;
        assertFalse(policy.allowRetry("orders"));
    }

    private static LiveSettings settings() {
        return new LiveSettings(
                new NodeSettings(
                        "node",
                        "region",
                        "zone",
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        NodeSettings.Integration.PLATFORM,
                        "orders",
                        new NodeSettings.Bounds(0.7, 2.5, RATIO, EXTRA, WINDOW_SECONDS, 6),
                        Optional.empty()));
    }
}
