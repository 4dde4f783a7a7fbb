package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.retry.RetryBudget;

/** Keeps one retry budget for each service, as configured. */
public final class ServiceRetryPolicy implements RetryPolicy {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int MINIMUM_RETRIES = 10;

    private final Clock mClock;
    private final ConfigurationHolder mConfiguration;
    private final ConcurrentHashMap<String, Budget> mBudgets = new ConcurrentHashMap<>();

    /**
     * Creates full budgets.
     *
     * @param clock time of the sliding window
     * @param configuration configuration in force
     */
    public ServiceRetryPolicy(Clock clock, ConfigurationHolder configuration) {
        mClock = clock;
        mConfiguration = configuration;
    }

    @Override
    public void recordFirstAttempt(String service) {
        budget(service).recordFirstAttempt();
    }

    @Override
    public boolean tryRetry(String service) {
        return budget(service).tryRetry();
    }

    private RetryBudget budget(String service) {
        int percent =
                mConfiguration
                        .current()
                        .service(service)
                        .map(ServiceDefinition::retryPercent)
                        .orElse(0);
        Budget budget = mBudgets.get(service);
        if (budget == null || budget.percent() != percent) {
            budget = new Budget(percent, new RetryBudget(mClock, percent, MINIMUM_RETRIES, WINDOW));
            mBudgets.put(service, budget);
        }
        return budget.retries();
    }

    private record Budget(int percent, RetryBudget retries) {}
}
