package org.arbutuslock.internal.configuration.spread;

import static org.testng.Assert.assertTrue;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.arbutuslock.internal.configuration.spread.SpreadHistory.InjectedBug;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against accepted changes that a node never receives, applies in another order or reverts.
 * This can happen when messages are lost, nodes restart or the store is restored from a backup.
 */
public class SpreadHistoryTest {
    private static final int SEEDS = 300;
    private static final int SEEDS_WITH_INJECTED_BUG = 20;

    /** Kept in a field, since java.util.logging drops the level of a logger without references. */
    private static final Logger LOGGER = Logger.getLogger("org.arbutuslock.configuration");

    /** Turns logging off, since thousands of expected events would hide other output. */
    @BeforeClass
    public void hideExpectedEvents() {
        LOGGER.setLevel(Level.OFF);
    }

    @AfterClass
    public void showEvents() {
        LOGGER.setLevel(null);
    }

    @Test
    public void should_bring_every_accepted_change_to_every_node() {
        int[] accepted = {0};
        long start = System.nanoTime();
        Seeds.run(
                SEEDS,
                seed -> accepted[0] += new SpreadHistory(seed, InjectedBug.NONE).runAndCheck());
        System.out.println(
                "changes: " + accepted[0] + ", ms: " + (System.nanoTime() - start) / 1_000_000);
        // Without enough accepted changes the simulation would check almost nothing.
        assertTrue(accepted[0] > 10 * Seeds.upTo(SEEDS).length, "accepted changes: " + accepted[0]);
    }

    @DataProvider
    public Object[][] injectedBugs() {
        return new Object[][] {
            {InjectedBug.NO_DIGESTS, "revision of a node while the store is down"},
            {InjectedBug.LOWER_REVISION, "revision went down"},
        };
    }

    /** Guards against a simulation whose checks cannot fail. */
    @Test(dataProvider = "injectedBugs")
    public void should_detect_an_injected_bug(InjectedBug injectedBug, String expected) {
        int caught = 0;
        for (long seed = 1; seed <= SEEDS_WITH_INJECTED_BUG; seed++) {
            try {
                new SpreadHistory(seed, injectedBug).runAndCheck();
            } catch (AssertionError violation) {
                assertTrue(violation.getMessage().contains(expected), violation.getMessage());
                caught++;
            }
        }
        System.out.println(
                injectedBug + " detected in " + caught + " of " + SEEDS_WITH_INJECTED_BUG);
        assertTrue(caught > 0);
    }
}
