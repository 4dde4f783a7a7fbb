package org.arbutuslock.internal.retry;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.settings.NodeSettings;
import org.testng.annotations.Test;

/** Guards against endpoints that together take more repeats than the budget of the fleet allows. */
public class FleetRetryShareTest {
    private static final double RATIO = 0.2;
    private static final int EXTRA = 56;
    private static final int WINDOW_SECONDS = 10;
    private static final int STEPS_PER_SECOND = 4;
    private static final int SEEDS = 50;
    private static final NodeSettings.Bounds BOUNDS =
            new NodeSettings.Bounds(0.7, 2.5, RATIO, EXTRA, WINDOW_SECONDS, 6);

    @Test
    public void should_keep_the_budget_of_the_fleet_in_every_window() {
        long first = Long.getLong("arbutuslock.seed", 1);
        for (long seed = first; seed < first + SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            new Play(random, 4 + (int) (seed % 40), 0).run("seed " + seed);
        }
    }

    @Test
    public void should_keep_the_budget_while_endpoints_are_replaced_one_by_one() {
        long first = Long.getLong("arbutuslock.seed", 1);
        for (long seed = first; seed < first + SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            new Play(random, 8 + (int) (seed % 8), 0.15).run("seed " + seed);
        }
    }

    @Test
    public void should_give_a_fresh_endpoint_its_fixed_part_within_a_window() {
        ManualClock clock = new ManualClock();
        EndpointRetryLimiter share = new EndpointRetryLimiter(clock, () -> BOUNDS, () -> 8);
        assertFalse(share.tryRetry());
        clock.advance(Duration.ofSeconds(WINDOW_SECONDS));
        for (int repeat = 0; repeat < 4; repeat++) {
            assertTrue(share.tryRetry());
        }
        assertFalse(share.tryRetry());
    }

    @Test
    public void should_divide_the_fixed_part_by_the_most_endpoints_ever_known() {
        ManualClock clock = new ManualClock();
        int[] known = {100};
        EndpointRetryLimiter share = new EndpointRetryLimiter(clock, () -> BOUNDS, () -> known[0]);
        clock.advance(Duration.ofSeconds(WINDOW_SECONDS));
        assertFalse(share.tryRetry());
        known[0] = 1;
        assertFalse(share.tryRetry());
    }

    @Test
    public void should_follow_a_fixed_part_that_changes() {
        ManualClock clock = new ManualClock();
        NodeSettings.Bounds[] current = {BOUNDS};
        EndpointRetryLimiter share = new EndpointRetryLimiter(clock, () -> current[0], () -> 8);
        clock.advance(Duration.ofSeconds(WINDOW_SECONDS));
        current[0] = new NodeSettings.Bounds(0.7, 2.5, RATIO, 0, WINDOW_SECONDS, 6);
        assertFalse(share.tryRetry());
    }

    /** Every endpoint takes as many repeats as it may, at rates that change within seconds. */
    private static final class Play {
        private final ManualClock mClock = new ManualClock();
        private final SplittableRandom mRandom;
        private final double mReplacedPerSecond;
        private final List<EndpointRetryLimiter> mFleet = new ArrayList<>();
        private final List<int[]> mSteps = new ArrayList<>();

        private Play(SplittableRandom random, int endpoints, double replacedPerSecond) {
            mRandom = random;
            mReplacedPerSecond = replacedPerSecond;
            for (int index = 0; index < endpoints; index++) {
                mFleet.add(create());
            }
        }

        private EndpointRetryLimiter create() {
            return new EndpointRetryLimiter(mClock, () -> BOUNDS, mFleet::size);
        }

        private void run(String message) {
            for (int step = 0; step < 400; step++) {
                if (mRandom.nextDouble() < mReplacedPerSecond / STEPS_PER_SECOND) {
                    mFleet.set(mRandom.nextInt(mFleet.size()), create());
                }
                mSteps.add(takeAll(mRandom.nextInt(6)));
                checkWindow(message + " step " + step);
                mClock.advance(Duration.ofMillis(1_000 / STEPS_PER_SECOND));
            }
        }

        private int[] takeAll(int rate) {
            int requests = 0;
            int repeats = 0;
            for (EndpointRetryLimiter share : mFleet) {
                for (int index = mRandom.nextInt(rate + 1); index > 0; index--) {
                    share.recordFirstAttempt();
                    requests++;
                }
                while (share.tryRetry()) {
                    repeats++;
                }
            }
            return new int[] {requests, repeats};
        }

        /** The requests of the window, the one before it or half a window before it count. */
        private void checkWindow(String message) {
            int window = WINDOW_SECONDS * STEPS_PER_SECOND;
            int end = mSteps.size();
            int requests = 0;
            for (int back : new int[] {0, window / 2, window}) {
                requests = Math.max(requests, sum(end - back - window, end - back, 0));
            }
            int repeats = sum(end - window, end, 1);
            assertTrue(
                    repeats <= RATIO * requests + EXTRA,
                    message + ": " + repeats + " repeats for " + requests + " requests");
        }

        private int sum(int from, int until, int column) {
            int total = 0;
            for (int index = Math.max(0, from); index < Math.max(0, until); index++) {
                total += mSteps.get(index)[column];
            }
            return total;
        }
    }
}
