package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertTrue;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.arbutuslock.internal.configuration.ConfigurationHistory.InjectedBug;
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
    private static final int SEEDS_WITH_INJECTED_BUG = 20;

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
    public void should_respond_correctly_and_keep_accepted_changes_under_faults() {
        int[] accepted = {0};
        Seeds.run(
                SEEDS,
                seed ->
                        accepted[0] +=
                                new ConfigurationHistory(seed, InjectedBug.NONE).runAndCheck());
        System.out.println("accepted changes in all histories: " + accepted[0]);
        // If almost no change is accepted, the checks have nothing to check.
        assertTrue(accepted[0] > 10 * Seeds.upTo(SEEDS).length, "accepted " + accepted[0]);
    }

    @DataProvider
    public Object[][] injectedBugs() {
        return new Object[][] {
            {InjectedBug.ABSENT_MEANS_NOT_ACCEPTED, "nothing was written"},
            {InjectedBug.LOWER_SNAPSHOT_APPLIED, "revision went down"},
        };
    }

    /** Shows that the check can fail: it has to detect each deliberate bug. */
    @Test(dataProvider = "injectedBugs")
    public void should_detect_an_injected_bug(InjectedBug injectedBug, String expected) {
        int caught = 0;
        for (long seed = 1; seed <= SEEDS_WITH_INJECTED_BUG; seed++) {
            try {
                new ConfigurationHistory(seed, injectedBug).runAndCheck();
            } catch (AssertionError violation) {
                assertTrue(violation.getMessage().contains(expected), violation.getMessage());
                caught++;
            }
        }
        System.out.println(injectedBug + " caught in " + caught + " of " + SEEDS_WITH_INJECTED_BUG);
        assertTrue(caught > 0);
    }
}
