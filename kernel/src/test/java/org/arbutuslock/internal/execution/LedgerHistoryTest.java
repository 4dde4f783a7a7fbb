package org.arbutuslock.internal.execution;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Guards against a second dispatch of a request and against a false {@code not run}, which arise
 * when copies of a request arrive during queries, fencing, restarts and expiry.
 */
public class LedgerHistoryTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20_261_204L);
    private static final int HISTORIES = 2_000;

    private final ExecutorService mThreads = Executors.newFixedThreadPool(3);

    @AfterClass
    public void stopThreads() {
        mThreads.shutdownNow();
    }

    private int countViolations(boolean fencing) throws Exception {
        int violations = 0;
        int reports = 0;
        for (int history = 0; history < HISTORIES; history++) {
            LedgerHistory run = new LedgerHistory(SEED + history, fencing);
            violations += run.run(mThreads);
            reports += run.notRunReports();
        }
        System.out.printf(
                "LedgerHistoryTest seed %d, fencing %b: %d histories, %d not-run, %d violations%n",
                SEED, fencing, HISTORIES, reports, violations);
        assertTrue(reports > HISTORIES, "too few not-run reports to check: " + reports);
        return violations;
    }

    @Test
    public void should_have_no_violations_in_concurrent_histories() throws Exception {
        assertEquals(countViolations(true), 0);
    }

    /** Guards against a check of histories that detects no violation. */
    @Test
    public void should_find_violations_without_fencing() throws Exception {
        assertTrue(countViolations(false) > 0);
    }
}
