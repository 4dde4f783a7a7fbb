package org.arbutuslock.internal.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.Test;

/**
 * Guards against frequent keys that have no counter and counts that violate the error bound of the
 * algorithm, by comparison with exact counts.
 */
public class SpaceSavingCounterTest {
    private static final int OFFERS = 20_000;
    private static final int CAPACITY = 50;

    @Test
    public void should_keep_the_bounds_of_the_paper_against_exact_counts() {
        Seeds.run(50, SpaceSavingCounterTest::compareWithExactCounts);
    }

    private static void compareWithExactCounts(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SpaceSavingCounter counter = new SpaceSavingCounter(CAPACITY);
        Map<String, Long> exact = new HashMap<>();
        for (int offer = 0; offer < OFFERS; offer++) {
            // The cube of a uniform random number makes low keys more frequent.
            double skewed = Math.pow(random.nextDouble(), 3);
            String key = "team-" + (int) (skewed * 1_000);
            counter.offer(key);
            exact.merge(key, 1L, Long::sum);
        }
        Map<String, Long> counted = new HashMap<>();
        counter.forEach(counted::put);
        assertEquals(counted.size(), CAPACITY);
        assertEquals(counted.values().stream().mapToLong(Long::longValue).sum(), OFFERS);
        long bound = OFFERS / CAPACITY;
        counted.forEach(
                (key, count) -> {
                    assertTrue(count >= exact.get(key), key + " is counted too low");
                    assertTrue(count <= exact.get(key) + bound, key + " is counted too high");
                });
        exact.forEach(
                (key, count) ->
                        assertTrue(
                                count <= bound || counted.containsKey(key), key + " is missing"));
    }
}
