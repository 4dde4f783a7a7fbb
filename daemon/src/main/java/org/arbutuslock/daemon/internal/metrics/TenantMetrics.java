package org.arbutuslock.daemon.internal.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;

/**
 * Requests and latencies of the most active tenants, one row each, and of all other tenants in one
 * common row. A tenant that is no longer listed loses its row; its requests move to the common row.
 */
final class TenantMetrics {
    static final int MAXIMUM_TENANTS = 64;

    /** Name of the common row; parentheses are not allowed in the name of a tenant. */
    static final String OTHERS = "(other)";

    private static final Duration[] BUCKETS = {
        Duration.ofMillis(1), Duration.ofMillis(2), Duration.ofMillis(5),
        Duration.ofMillis(10), Duration.ofMillis(20), Duration.ofMillis(50),
        Duration.ofMillis(100), Duration.ofMillis(200), Duration.ofMillis(500),
        Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(5),
        Duration.ofSeconds(10), Duration.ofSeconds(60)
    };

    private final MeterRegistry mRegistry;
    private final Row mOthers;

    /** Immutable map, which is replaced as a whole; a request reads it once. */
    private volatile Map<String, Row> mRows = Map.of();

    private volatile Retired mRetired = new Retired(0, Map.of());

    TenantMetrics(MeterRegistry registry) {
        mRegistry = registry;
        mOthers = new Row(registry, OTHERS);
        FunctionCounter.builder(
                        "arbutuslock.tenant.requests", this, TenantMetrics::requestsOfOthers)
                .tag("tenant", OTHERS)
                .description("requests of callers by tenant")
                .register(registry);
    }

    Set<String> listed() {
        return mRows.keySet();
    }

    void record(String tenant, Duration latency) {
        mRows.getOrDefault(tenant, mOthers).record(latency);
    }

    /** Replaces the set of tenants with rows of their own. Not thread-safe. */
    void setListed(Set<String> tenants) {
        Map<String, Row> next = new HashMap<>();
        Map<String, Row> removed = new HashMap<>(mRows);
        for (String tenant : tenants) {
            Row row = removed.remove(tenant);
            next.put(tenant, row == null ? addRow(tenant) : row);
        }
        mRows = Map.copyOf(next);
        // A request that is recorded concurrently may still add to the rows removed now. No request
        // takes a whole interval to record, so rows removed by the previous call are final.
        mRetired = new Retired(mRetired.requests(), Map.copyOf(removed));
        removed.values().forEach(Row::remove);
    }

    private Row addRow(String tenant) {
        Row row = new Row(mRegistry, tenant);
        row.mCounter =
                FunctionCounter.builder("arbutuslock.tenant.requests", row, Row::requests)
                        .tag("tenant", tenant)
                        .description("requests of callers by tenant")
                        .register(mRegistry);
        return row;
    }

    private double requestsOfOthers() {
        return mOthers.requests() + mRetired.requests();
    }

    /**
     * Requests of removed rows.
     *
     * @param earlier sum of the rows that were removed before the last selection
     * @param latest rows that were removed by the last selection, to which concurrent requests may
     *     still be added
     */
    private record Retired(long earlier, Map<String, Row> latest) {
        private long requests() {
            return earlier + latest.values().stream().mapToLong(Row::requests).sum();
        }
    }

    private static final class Row {
        private final MeterRegistry mRegistry;
        private final LongAdder mRequests = new LongAdder();
        private final Timer mTimer;
        private FunctionCounter mCounter;

        private Row(MeterRegistry registry, String tenant) {
            mRegistry = registry;
            mTimer =
                    Timer.builder("arbutuslock.tenant.latency")
                            .tag("tenant", tenant)
                            .description("time from a caller's request to the end of its response")
                            .serviceLevelObjectives(BUCKETS)
                            .register(registry);
        }

        private void record(Duration latency) {
            mRequests.increment();
            mTimer.record(latency);
        }

        private long requests() {
            return mRequests.sum();
        }

        private void remove() {
            mRegistry.remove(mTimer);
            mRegistry.remove(mCounter);
        }
    }
}
