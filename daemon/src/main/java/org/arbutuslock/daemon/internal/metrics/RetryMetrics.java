package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.daemon.internal.callers.RetryPolicy;

/** Retry policy that counts the retries which another policy grants and denies per service. */
public final class RetryMetrics implements RetryPolicy {
    private final RetryPolicy mPolicy;
    private final MeterRegistry mRegistry;
    private final ConcurrentHashMap<String, Counters> mCounters = new ConcurrentHashMap<>();

    private record Counters(Counter granted, Counter denied) {}

    /**
     * Wraps a policy.
     *
     * @param policy policy that decides on retries
     * @param registry registry for the counters
     */
    public RetryMetrics(RetryPolicy policy, MeterRegistry registry) {
        mPolicy = policy;
        mRegistry = registry;
    }

    @Override
    public void recordFirstAttempt(String service) {
        mCounters.computeIfAbsent(service, this::createCounters);
        mPolicy.recordFirstAttempt(service);
    }

    @Override
    public boolean tryRetry(String service) {
        boolean allowed = mPolicy.tryRetry(service);
        Counters counters = mCounters.computeIfAbsent(service, this::createCounters);
        (allowed ? counters.granted() : counters.denied()).increment();
        return allowed;
    }

    private Counters createCounters(String service) {
        return new Counters(create(service, "granted"), create(service, "denied"));
    }

    private Counter create(String service, String result) {
        return Counter.builder("arbutuslock.retries")
                .description("retries after an overload that the budget of the service decided on")
                .tag("service", service)
                .tag("result", result)
                .register(mRegistry);
    }
}
