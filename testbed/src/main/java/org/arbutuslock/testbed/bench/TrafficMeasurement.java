package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.List;
import org.arbutuslock.internal.messages.MessageFormatException;

/** Measures traffic and processor time of each node of a fleet. */
final class TrafficMeasurement {
    // 425 nodes of a zone and 0.7 changes per second reach a steady rate within seconds.
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

    /** Measures one size of fleet with changes at these rates for the whole fleet. */
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
     * Figures of one size of fleet. Messages and bytes are those sent and received.
     *
     * @param nodes nodes
     * @param messagesPerSecond messages of a node, mean
     * @param bytesPerSecond bytes of a node with headers, mean
     * @param bytesPerSecond99 bytes of a node with headers, 99th percentile of all nodes
     * @param cpuPercent share of a core, mean
     * @param joinSeconds time until one more node knows all others
     */
    record Result(
            int nodes,
            double messagesPerSecond,
            double bytesPerSecond,
            double bytesPerSecond99,
            double cpuPercent,
            double joinSeconds) {}
}
