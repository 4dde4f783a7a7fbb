package org.arbutuslock.internal.retry;

import java.time.Duration;
import org.arbutuslock.api.ManualClock;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.testng.annotations.Test;

/**
 * Guards against concurrent calls that together exceed the budget or lose an attempt, because a
 * call overwrites the state of another one.
 */
public class RetryBudgetLincheckTest {
    private final RetryBudget mBudget =
            new RetryBudget(new ManualClock(), 50, 1, Duration.ofSeconds(10));

    @Operation
    public void recordFirstAttempt() {
        mBudget.recordFirstAttempt();
    }

    @Operation
    public boolean tryRetry() {
        return mBudget.tryRetry();
    }

    @Test
    public void should_order_concurrent_calls() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(100)
                .check(RetryBudgetLincheckTest.class);
    }
}
