package org.arbutuslock.testbed.load;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Describes a load: what is sent, where, when and within which bounds.
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
 * @param targets loopback addresses that get the requests in turn
 * @param steps rates in order
 * @param kinds kinds of request
 * @param arrivals spacing of arrivals
 * @param connectionsPerTarget most keep-alive connections to one target
 * @param threads event loops
 * @param timeout longest wait for a response, from the intended send time
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
    /** Most requests of one run. */
    public static final long MAXIMUM_REQUESTS = 5_000_000;

    /** Longest run. */
    public static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

    /** Most connections of one run. */
    public static final int MAXIMUM_CONNECTIONS = 8192;

    private static final int MAXIMUM_THREADS = 8;
    private static final Duration MAXIMUM_TIMEOUT = Duration.ofMinutes(10);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks every bound before anything is sent. */
    public LoadPlan {
        targets = List.copyOf(targets);
        steps = List.copyOf(steps);
        kinds = List.copyOf(kinds);
        require(!targets.isEmpty(), "no target is given; give at least one");
        require(!steps.isEmpty(), "no step is given; give at least one");
        require(!kinds.isEmpty(), "no kind of request is given; give at least one");
        targets.forEach(LoadPlan::requireLoopback);
        steps.forEach(LoadPlan::requirePositive);
        double requests = countRequests(steps);
        require(
                requests <= MAXIMUM_REQUESTS,
                "the steps have " + requests + " requests; allowed are " + MAXIMUM_REQUESTS);
        Duration total = totalDuration(steps);
        require(
                total.compareTo(MAXIMUM_DURATION) <= 0,
                "the steps last " + total + "; allowed are " + MAXIMUM_DURATION);
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
                "timeout is " + timeout + "; allowed are up to " + MAXIMUM_TIMEOUT);
    }

    private static void requireLoopback(InetSocketAddress target) {
        require(
                !target.isUnresolved() && target.getAddress().isLoopbackAddress(),
                "target "
                        + target
                        + " is not a loopback address; the load tool sends only to 127.0.0.0/8"
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
