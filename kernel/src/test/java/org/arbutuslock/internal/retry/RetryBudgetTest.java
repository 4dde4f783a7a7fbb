package org.arbutuslock.internal.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.arbutuslock.api.ManualClock;
import org.testng.annotations.Test;

/** Guards against retries that amplify an overload, because the budget allows too many. */
public class RetryBudgetTest {
    private final ManualClock mClock = new ManualClock();

    private static int takeAll(RetryBudget budget) {
        int taken = 0;
        while (budget.tryRetry()) {
            taken++;
        }
        return taken;
    }

    private static void recordFirstAttempts(RetryBudget budget, int count) {
        for (int attempt = 0; attempt < count; attempt++) {
            budget.recordFirstAttempt();
        }
    }

    /** Guards against a share that counts attempts outside the window. */
    @Test
    public void should_limit_retries_to_share_of_sliding_window() {
        RetryBudget budget = new RetryBudget(mClock, 10, 3, Duration.ofSeconds(10));
        assertEquals(takeAll(budget), 3);
        recordFirstAttempts(budget, 200);
        assertEquals(takeAll(budget), 17);
        mClock.advance(Duration.ofSeconds(5));
        recordFirstAttempts(budget, 100);
        assertEquals(takeAll(budget), 10);
        mClock.advance(Duration.ofSeconds(6));
        // The first 200 attempts and 20 retries have left the window.
        assertEquals(takeAll(budget), 0);
        mClock.advance(Duration.ofSeconds(10));
        assertEquals(takeAll(budget), 3);
    }

    /** Guards against a minimum that applies although the service allows no retries. */
    @Test
    public void should_allow_nothing_when_share_is_zero() {
        RetryBudget budget = new RetryBudget(mClock, 0, 3, Duration.ofSeconds(10));
        recordFirstAttempts(budget, 1000);
        assertEquals(takeAll(budget), 0);
        assertTrue(new RetryBudget(mClock, 1, 1, Duration.ofSeconds(10)).tryRetry());
    }
}
