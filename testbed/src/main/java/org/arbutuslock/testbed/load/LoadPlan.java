package org.arbutuslock.testbed.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Parameters of a load: requests, targets, arrival rates and limits.
 *
 * <pre>{@code
 * LoadPlan plan =
 *         new LoadPlan(
 *                 List.of(entryNode),
 *                 List.of(new LoadStep(200, Duration.ofSeconds(10))),
 *                 List.of(RequestKind.get("lookup", "/price", 1)),
 *                 ArrivalPattern.POISSON, 64, 1, Duration.ofSeconds(5), seed);
 * }</pre>
 *
 * @param targets loopback addresses; requests are distributed among them round-robin
 * @param steps arrival rates, in the order in which they are applied
 * @param kinds kinds of request; each arrival draws one by its share
 * @param arrivals distribution of the intervals between arrivals
 * @param connectionsPerTarget maximum number of keep-alive connections per target; at least one per
 *     thread
 * @param threads number of event loops, 1 to 8
 * @param timeout maximum time from the intended send time to the end of a response; at most 10
 *     minutes
 * @param seed seed of arrival times and kinds
 */
public record LoadPlan(
        List<InetSocketAddress> targets,
        List<LoadStep> steps,
        List<RequestKind> kinds,
        ArrivalPattern arrivals,
        int connectionsPerTarget,
        int threads,
        Duration timeout,
        long seed) {
    /** Maximum number of requests in one run. */
    public static final long MAXIMUM_REQUESTS = 5_000_000;

    /** Maximum total duration of the steps. */
    public static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

    /** Maximum number of connections of one run to all targets together. */
    public static final int MAXIMUM_CONNECTIONS = 8192;

    private static final int MAXIMUM_THREADS = 8;
    private static final Duration MAXIMUM_TIMEOUT = Duration.ofMinutes(10);
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Creates a plan.
     *
     * @throws IllegalArgumentException if a value is out of range or a target is not a loopback
     *     address
     */
    public LoadPlan {
        targets = List.copyOf(targets);
        steps = List.copyOf(steps);
        kinds = List.copyOf(kinds);
        require(!targets.isEmpty(), "the plan has no target; add at least one");
        require(!steps.isEmpty(), "the plan has no step; add at least one");
        require(!kinds.isEmpty(), "the plan has no kind of request; add at least one");
        targets.forEach(LoadPlan::requireLoopback);
        steps.forEach(LoadPlan::requirePositive);
        double requests = countRequests(steps);
        require(
                requests <= MAXIMUM_REQUESTS,
                "the steps have " + requests + " requests; allowed are up to " + MAXIMUM_REQUESTS);
        Duration total = totalDuration(steps);
        require(
                total.compareTo(MAXIMUM_DURATION) <= 0,
                "the steps last " + total + "; allowed are up to " + MAXIMUM_DURATION);
        require(
                threads >= 1 && threads <= MAXIMUM_THREADS,
                "threads is " + threads + "; allowed are 1 to " + MAXIMUM_THREADS);
        long connections = (long) connectionsPerTarget * targets.size();
        require(
                connectionsPerTarget >= threads && connections <= MAXIMUM_CONNECTIONS,
                "connectionsPerTarget is "
                        + connectionsPerTarget
                        + "; allowed are "
                        + threads
                        + " (threads) to "
                        + MAXIMUM_CONNECTIONS / targets.size());
        require(
                timeout.isPositive() && timeout.compareTo(MAXIMUM_TIMEOUT) <= 0,
                "timeout is " + timeout + "; allowed are positive values up to " + MAXIMUM_TIMEOUT);
    }

    private static void requireLoopback(InetSocketAddress target) {
        require(
                !target.isUnresolved() && target.getAddress().isLoopbackAddress(),
                "target "
                        + target
                        + " is not a loopback address; allowed are only 127.0.0.0/8"
                        + " and ::1");
    }

    private static void requirePositive(LoadStep step) {
        require(
                step.requestsPerSecond() > 0 && step.duration().isPositive(),
                "a step has "
                        + step.requestsPerSecond()
                        + " requests per second for "
                        + step.duration()
                        + "; both must be positive");
    }

    private static double countRequests(List<LoadStep> steps) {
        return steps.stream()
                .mapToDouble(
                        step ->
                                step.requestsPerSecond()
                                        * step.duration().toNanos()
                                        / NANOS_PER_SECOND)
                .sum();
    }

    private static Duration totalDuration(List<LoadStep> steps) {
        return steps.stream().map(LoadStep::duration).reduce(Duration.ZERO, Duration::plus);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
