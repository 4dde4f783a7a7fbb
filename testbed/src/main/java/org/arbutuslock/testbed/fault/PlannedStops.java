package org.arbutuslock.testbed.fault;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.arbutuslock.testbed.backend.BackendServer;
import org.arbutuslock.testbed.backend.ExecutionRecord;
import org.arbutuslock.testbed.fault.HistoryOperation.Result;
import org.arbutuslock.testbed.fleet.InProcessFleet;

/**
 * Drains and restarts every node of a fleet and then every backend server, one after the other,
 * while callers keep sending requests. The callers honor {@code Connection: close} and send only to
 * nodes whose readiness endpoint reports ready.
 *
 * <pre>{@code
 * PlannedStops.Report report = PlannedStops.run(seed, 16, Duration.ofMillis(20), progress);
 * assertEquals(report.failures(), List.of());
 * }</pre>
 */
public final class PlannedStops {
    private static final int NODES = 3;
    private static final Duration SETTLE_TIME = Duration.ofSeconds(1);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(20);
    private static final Duration DRAIN_QUIET = Duration.ofMillis(1_500);
    private static final long POLL_NANOS = Duration.ofMillis(2).toNanos();

    private final InProcessFleet mFleet;
    private final Consumer<String> mProgress;
    private final List<String> mNodes = new ArrayList<>();
    private final List<String> mBackends = new ArrayList<>();
    private final List<Duration> mDepartures = new ArrayList<>();
    private final List<Duration> mDrains = new ArrayList<>();

    /**
     * Result of the planned stops.
     *
     * @param requests number of requests that were sent
     * @param failures descriptions of the requests that did not get their own complete response
     * @param drains time that each node needed to drain and stop
     * @param departures time from the start of the drain of each backend server to the last request
     *     that it executed
     */
    public record Report(
            int requests,
            List<String> failures,
            List<Duration> drains,
            List<Duration> departures) {}

    private PlannedStops(InProcessFleet fleet, Consumer<String> progress) {
        mFleet = fleet;
        mProgress = progress;
    }

    /**
     * Runs all stops and blocks until the callers have ended.
     *
     * @param seed seed of the requests
     * @param callers number of concurrent callers
     * @param interval average time between two requests of a caller
     * @param progress receives a line before each stop
     * @return failed requests and durations
     * @throws Exception if a node cannot be started
     */
    public static Report run(long seed, int callers, Duration interval, Consumer<String> progress)
            throws Exception {
        try (InProcessFleet fleet = InProcessFleet.start(seed)) {
            PlannedStops stops = new PlannedStops(fleet, progress);
            stops.startFleet();
            return stops.run(seed, callers, interval);
        }
    }

    private void startFleet() throws Exception {
        for (int index = 1; index <= NODES; index++) {
            String node = "calgary-a-" + index;
            String backend = "order-hub-" + index;
            mFleet.addNode(node, "west-prairie", "calgary-a");
            mFleet.addBackend(node, backend, HistoryRequest.SERVICE, 5, HistoryRequest.WORK_TIMES);
            mNodes.add(node);
            mBackends.add(backend);
        }
        mFleet.change(HistoryRequest.configuration(NODES, false));
        mFleet.awaitReady();
    }

    private Report run(long seed, int callers, Duration interval) throws Exception {
        List<InetSocketAddress> entryNodes =
                mNodes.stream().map(name -> mFleet.settings(name).callers().address()).toList();
        List<InetSocketAddress> readiness =
                mNodes.stream().map(name -> mFleet.settings(name).metrics().address()).toList();
        try (ReadinessPoller ready = new ReadinessPoller(readiness);
                HistoryCallers load = new HistoryCallers(mNodes, entryNodes, seed, ready)) {
            InProcessFleet.await("readiness of all nodes", () -> ready.test(NODES - 1));
            Thread callersThread = startCallers(load, callers, interval);
            for (String node : mNodes) {
                restart(node);
            }
            for (String backend : mBackends) {
                depart(backend);
            }
            Thread.sleep(SETTLE_TIME);
            load.stop();
            callersThread.join();
            List<String> failures =
                    load.operations().stream()
                            .filter(operation -> !receivedOwnResponse(operation))
                            .map(HistoryOperation::toString)
                            .toList();
            return new Report(load.operations().size(), failures, mDrains, mDepartures);
        }
    }

    private static Thread startCallers(HistoryCallers load, int callers, Duration interval) {
        return Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                load.run(callers, Integer.MAX_VALUE, interval);
                            } catch (InterruptedException interrupted) {
                                throw new IllegalStateException(
                                        "interrupted while callers were sending requests",
                                        interrupted);
                            }
                        });
    }

    private static boolean receivedOwnResponse(HistoryOperation operation) {
        return operation.result() instanceof Result.Complete(boolean own) && own;
    }

    private void restart(String node) throws Exception {
        Thread.sleep(SETTLE_TIME);
        mProgress.accept("node " + node + " is drained and restarted");
        long start = System.nanoTime();
        mFleet.node(node).drain();
        mFleet.stopNode(node);
        mDrains.add(Duration.ofNanos(System.nanoTime() - start));
        Thread.sleep(SETTLE_TIME);
        mFleet.startNode(node);
        mFleet.awaitReady();
    }

    private void depart(String name) throws Exception {
        Thread.sleep(SETTLE_TIME);
        mProgress.accept(name + " is drained and restarted");
        BackendServer backend = mFleet.backends().get(name);
        ExecutionRecord executions = backend.executions();
        long notice = System.nanoTime();
        long last = notice;
        long seen = executions.total();
        var drained = backend.drain(DRAIN_QUIET, DRAIN_LIMIT);
        while (!drained.isDone()) {
            LockSupport.parkNanos(POLL_NANOS);
            if (executions.total() != seen) {
                seen = executions.total();
                last = System.nanoTime();
            }
        }
        mDepartures.add(Duration.ofNanos(last - notice));
        mFleet.stopBackend(name);
        mFleet.startBackend(name);
        mFleet.awaitReady();
    }
}
