package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertTrue;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.arbutuslock.internal.configuration.ConfigurationHistory.Plant;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against lost or reverted changes, a different order of changes on different nodes, and
 * wrong responses when the store fails, nodes restart and messages are lost or duplicated.
 */
public class ConfigurationHistoryTest {
    private static final int SEEDS = 300;
    private static final int SEEDS_WITH_PLANTED_FAULT = 20;

    /** Kept in a field because the logging library drops unreferenced loggers and their levels. */
    private static final Logger LOGGER = Logger.getLogger("org.arbutuslock.configuration");

    /** Log lines of thousands of ended watches would hide other output. */
    @BeforeClass
    public void hideExpectedEvents() {
        LOGGER.setLevel(Level.WARNING);
    }

    @AfterClass
    public void showEvents() {
        LOGGER.setLevel(null);
    }

    @Test
    public void should_keep_every_promise_under_faults() {
        int[] accepted = {0};
        Seeds.run(
                SEEDS,
                seed -> accepted[0] += new ConfigurationHistory(seed, Plant.NONE).runAndCheck());
        System.out.println("accepted changes in all histories: " + accepted[0]);
        // If almost no change is accepted, the checks have nothing to check.
        assertTrue(accepted[0] > 10 * Seeds.upTo(SEEDS).length, "accepted " + accepted[0]);
    }

    @DataProvider
    public Object[][] plants() {
        return new Object[][] {
            {Plant.ABSENT_MEANS_NOT_ACCEPTED, "nothing was written"},
            {Plant.LOWER_SNAPSHOT_APPLIED, "revision went down"},
        };
    }

    /** Shows that the check can fail: it has to detect each deliberate bug. */
    @Test(dataProvider = "plants")
    public void should_catch_a_planted_fault(Plant plant, String expected) {
        int caught = 0;
        for (long seed = 1; seed <= SEEDS_WITH_PLANTED_FAULT; seed++) {
            try {
                new ConfigurationHistory(seed, plant).runAndCheck();
            } catch (AssertionError violation) {
                assertTrue(violation.getMessage().contains(expected), violation.getMessage());
                caught++;
            }
        }
        System.out.println(plant + " caught in " + caught + " of " + SEEDS_WITH_PLANTED_FAULT);
        assertTrue(caught > 0);
    }
}
