package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Figures of all measurements of {@link GossipBench}, compared with the bounds of the design.
 *
 * @param seed seed of all random choices
 * @param seconds simulated time of each measurement of traffic
 * @param steady traffic without changes
 * @param changing traffic with the rate of changes that a fleet of the design size has
 * @param memory heap and times by number of endpoints
 */
record GossipReport(
        long seed,
        int seconds,
        List<TrafficMeasurement.Result> steady,
        List<TrafficMeasurement.Result> changing,
        List<MemoryMeasurement.Result> memory) {
    private static final double MAXIMUM_BYTES_PER_SECOND = 14_000;
    private static final double MAXIMUM_CPU_PERCENT = 1.2;

    // The time to transfer 4.6 MB of records at 7 KB/s, half of the traffic that a node may cause.
    private static final double MAXIMUM_JOIN_SECONDS = 660;
    private static final double MAXIMUM_HEAP_BYTES = 256e6;

    /** Returns every figure that has a bound. */
    List<Check> checks() {
        List<Check> checks = new ArrayList<>();
        checks.add(
                extrapolate(
                        "bytes/s, steady",
                        steady,
                        result -> result.bytesPerSecond(),
                        MAXIMUM_BYTES_PER_SECOND));
        checks.add(
                extrapolate(
                        "bytes/s, with changes",
                        changing,
                        result -> result.bytesPerSecond(),
                        MAXIMUM_BYTES_PER_SECOND));
        checks.add(
                extrapolate(
                        "% of a core, steady",
                        steady, result -> result.cpuPercent(), MAXIMUM_CPU_PERCENT));
        checks.add(
                extrapolate(
                        "% of a core, with changes",
                        changing, result -> result.cpuPercent(), MAXIMUM_CPU_PERCENT));
        checks.add(
                extrapolate(
                        "seconds until a joining node knows all",
                        steady,
                        result -> result.joinSeconds(),
                        MAXIMUM_JOIN_SECONDS));
        MemoryMeasurement.Result largest = memory.getLast();
        checks.add(
                new Check(
                        "heap bytes at " + largest.endpoints() + " endpoints",
                        largest.heapBytes(),
                        MAXIMUM_HEAP_BYTES,
                        "measured"));
        return checks;
    }

    boolean isWithinBounds() {
        return checks().stream().allMatch(Check::isWithinBound);
    }

    /** Formats all figures as plain text. */
    String toText() {
        StringBuilder text = new StringBuilder();
        text.append("seed ").append(seed).append(", ").append(seconds).append(" s simulated\n");
        text.append("traffic of a node, sent and received, with ")
                .append(GossipFleet.OVERHEAD_BYTES)
                .append(" bytes of headers for each message\n");
        appendTraffic(text, "steady", steady);
        appendTraffic(text, "changes", changing);
        for (MemoryMeasurement.Result result : memory) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "memory  %6d endpoints %5d nodes: %.2f MB, %.0f bytes/endpoint,"
                                    + " %.0f bytes/node; one change %.3f ms,"
                                    + " 5%% of nodes vanish %.2f ms%n",
                            result.endpoints(),
                            result.nodes(),
                            result.heapBytes() / 1e6,
                            result.heapBytes() / (double) result.endpoints(),
                            result.heapBytes() / (double) result.nodes(),
                            result.changeMillis(),
                            result.burstMillis()));
        }
        checks().forEach(check -> text.append(check.toText()));
        return text.toString();
    }

    private static void appendTraffic(
            StringBuilder text, String name, List<TrafficMeasurement.Result> results) {
        for (TrafficMeasurement.Result result : results) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-7s %5d nodes: %.1f messages/s, %.0f bytes/s (p99 node %.0f),"
                                    + " %.4f%% of a core, joined in %.1f s%n",
                            name,
                            result.nodes(),
                            result.messagesPerSecond(),
                            result.bytesPerSecond(),
                            result.bytesPerSecond99(),
                            result.cpuPercent(),
                            result.joinSeconds()));
        }
    }

    private static Check extrapolate(
            String name,
            List<TrafficMeasurement.Result> results,
            ToDoubleFunction<TrafficMeasurement.Result> value,
            double bound) {
        double[] nodes = results.stream().mapToDouble(TrafficMeasurement.Result::nodes).toArray();
        LinearFit fit = LinearFit.fit(nodes, results.stream().mapToDouble(value).toArray());
        return new Check(
                name,
                fit.at(SyntheticFleet.DESIGN_NODES),
                bound,
                fit.explain(SyntheticFleet.DESIGN_NODES));
    }

    /**
     * A figure with its upper bound.
     *
     * @param name what was measured
     * @param value the figure
     * @param bound largest value allowed
     * @param arithmetic formula of an extrapolated figure, or {@code measured}
     */
    record Check(String name, double value, double bound, String arithmetic) {
        boolean isWithinBound() {
            return value <= bound;
        }

        private String toText() {
            return String.format(
                    Locale.ROOT,
                    "%s  %s: %.3f, bound %.1f (%s)%n",
                    isWithinBound() ? "ok  " : "FAIL",
                    name,
                    value,
                    bound,
                    arithmetic);
        }
    }
}
