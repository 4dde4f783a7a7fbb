package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.List;
import org.arbutuslock.internal.messages.MessageFormatException;

/** Measures traffic and processor time of the membership protocol per node of a fleet. */
final class TrafficMeasurement {
    // The 425 nodes of a zone with 0.7 changes per second reach a steady rate within seconds.
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration JOIN_LIMIT = Duration.ofMinutes(20);
    private static final double BUSIEST_NODE_QUANTILE = 0.99;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double FULL_PERCENT = 100;

    private final long mSeed;
    private final Duration mDuration;

    TrafficMeasurement(long seed, Duration duration) {
        mSeed = seed;
        mDuration = duration;
    }

    /** Measures a fleet of one size; the rates of changes are those of the whole fleet. */
    Result measure(int nodes, double changesPerSecond, double restartsPerSecond)
            throws MessageFormatException {
        GossipFleet fleet = new GossipFleet(nodes, mSeed);
        fleet.start();
        fleet.run(WARM_UP, changesPerSecond, restartsPerSecond);
        fleet.reset();
        fleet.run(mDuration, changesPerSecond, restartsPerSecond);
        double seconds = mDuration.toSeconds();
        List<Long> bytes = fleet.bytes().stream().sorted().toList();
        double mean = bytes.stream().mapToLong(Long::longValue).average().orElse(0) / seconds;
        double messages =
                fleet.messages().stream().mapToLong(Long::longValue).average().orElse(0) / seconds;
        int index = (int) ((bytes.size() - 1) * BUSIEST_NODE_QUANTILE);
        double cpu = fleet.cpuNanos() / (nodes * (double) mDuration.toNanos());
        double join = fleet.join(JOIN_LIMIT).toMillis() / MILLIS_PER_SECOND;
        return new Result(
                nodes, messages, mean, bytes.get(index) / seconds, cpu * FULL_PERCENT, join);
    }

    /**
     * Figures for one fleet size. Messages and bytes include both sent and received ones.
     *
     * @param nodes number of nodes in the fleet
     * @param messagesPerSecond mean messages of a node
     * @param bytesPerSecond mean bytes of a node, including headers
     * @param bytesPerSecond99 99th percentile over all nodes of the bytes, including headers
     * @param cpuPercent mean processor time of a node as a percentage of one core
     * @param joinSeconds simulated time until one more node knows all others
     */
    record Result(
            int nodes,
            double messagesPerSecond,
            double bytesPerSecond,
            double bytesPerSecond99,
            double cpuPercent,
            double joinSeconds) {}
}
