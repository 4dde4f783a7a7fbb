package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.configuration.SubmitResult;

/** Submits changes at a fixed rate and measures how long all nodes take to apply each of them. */
final class SpreadLatency {
    private static final Duration SUBMIT_LIMIT = Duration.ofSeconds(5);
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(15);
    private static final long POLL_NANOS = 20_000_000L;
    private static final long RETRY_NANOS = 30_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;
    private static final int TENANTS = 1_000;

    private final SpreadBenchFleet mFleet;
    private final List<Accepted> mAccepted = Collections.synchronizedList(new ArrayList<>());

    /** An accepted change and, for each node that was running then, how often it had started. */
    private record Accepted(long revision, long nanos, Map<SpreadBenchNode, Integer> nodes) {}

    SpreadLatency(SpreadBenchFleet fleet) {
        mFleet = fleet;
    }

    void submit(int seconds, int changesPerSecond) {
        long start = System.nanoTime();
        for (int index = 0; index < seconds * changesPerSecond; index++) {
            sleepUntil(start + index * (NANOS_PER_SECOND / changesPerSecond));
            int tenant = index % TENANTS;
            Thread.startVirtualThread(() -> submitUntilAccepted(tenant));
        }
    }

    private static void sleepUntil(long nanos) {
        long rest = nanos - System.nanoTime();
        while (rest > 0) {
            LockSupport.parkNanos(rest);
            rest = nanos - System.nanoTime();
        }
    }

    /** Submits a change, and again on the newer revision when a concurrent change wins. */
    private void submitUntilAccepted(int tenant) {
        long limit = System.nanoTime() + SUBMIT_LIMIT.toNanos();
        while (System.nanoTime() < limit) {
            SpreadBenchNode node = mFleet.anyRunning();
            try {
                SubmitResult result =
                        node.log()
                                .submit(
                                        UUID.randomUUID(),
                                        "bench",
                                        node.holder().current().revision(),
                                        List.of(
                                                new ConfigurationOperation.PutTenant(
                                                        new TenantDefinition("team-" + tenant, 1))),
                                        limit)
                                .join();
                if (result instanceof SubmitResult.Accepted(long revision)) {
                    mAccepted.add(new Accepted(revision, System.nanoTime(), startCounts()));
                    return;
                }
            } catch (RuntimeException stopped) {
                // The node was stopped after it was chosen; the next attempt chooses another one.
            }
            LockSupport.parkNanos(RETRY_NANOS);
        }
    }

    private Map<SpreadBenchNode, Integer> startCounts() {
        Map<SpreadBenchNode, Integer> counts = new HashMap<>();
        mFleet.running().forEach(node -> counts.put(node, node.startCount()));
        return counts;
    }

    Map<String, Object> figures(int submitted, double boundMillis) {
        long deadline = System.nanoTime() + MAXIMUM_WAIT.toNanos();
        Histogram micros = new Histogram(SIGNIFICANT_DIGITS);
        int missing = 0;
        awaitAccepted(submitted, deadline);
        for (Accepted change : List.copyOf(mAccepted)) {
            long nanos = awaitApplied(change, deadline);
            if (nanos < 0) {
                missing++;
            } else {
                micros.recordValue(nanos / 1000);
            }
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("submitted", submitted);
        figures.put("accepted", mAccepted.size());
        figures.put("notInForceEverywhere", missing);
        figures.put("p50Millis", micros.getValueAtPercentile(MEDIAN) / 1000.0);
        figures.put("p99Millis", micros.getValueAtPercentile(TAIL) / 1000.0);
        figures.put("maximumMillis", micros.getMaxValue() / 1000.0);
        figures.put("boundMillis", boundMillis);
        boolean enough = mAccepted.size() >= submitted * 9 / 10;
        double tail = micros.getValueAtPercentile(TAIL) / 1000.0;
        figures.put("met", missing == 0 && enough && tail < boundMillis);
        return figures;
    }

    private void awaitAccepted(int submitted, long deadline) {
        long limit = Math.min(deadline, System.nanoTime() + SUBMIT_LIMIT.toNanos());
        while (mAccepted.size() < submitted && System.nanoTime() < limit) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /**
     * Returns the nanoseconds from acceptance until the last node had applied the change, or -1
     * when a node did not apply it before the deadline. Ignores nodes that stopped or restarted.
     */
    private static long awaitApplied(Accepted change, long deadline) {
        long longest = 0;
        for (Map.Entry<SpreadBenchNode, Integer> entry : change.nodes().entrySet()) {
            SpreadBenchNode node = entry.getKey();
            Long nanos = node.appliedNanos(change.revision());
            while (nanos == null && isSameRun(entry) && System.nanoTime() < deadline) {
                LockSupport.parkNanos(POLL_NANOS);
                nanos = node.appliedNanos(change.revision());
            }
            if (!isSameRun(entry)) {
                continue;
            }
            if (nanos == null) {
                System.err.println(node.name() + " has not applied revision " + change.revision());
                return -1;
            }
            longest = Math.max(longest, nanos - change.nanos());
        }
        return longest;
    }

    private static boolean isSameRun(Map.Entry<SpreadBenchNode, Integer> entry) {
        return entry.getKey().isRunning() && entry.getKey().startCount() == entry.getValue();
    }
}
