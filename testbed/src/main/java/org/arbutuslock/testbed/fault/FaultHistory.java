package org.arbutuslock.testbed.fault;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.arbutuslock.testbed.backend.ExecutionRecord;
import org.arbutuslock.testbed.fault.HistoryOperation.Result;
import org.arbutuslock.testbed.fleet.InProcessFleet;

/**
 * Sends requests through a fleet under faults and checks what the callers saw against what the
 * backend servers executed.
 *
 * <pre>{@code
 * HistoryReport report = FaultHistory.run(plan);
 * assertEquals(report.violations(), List.of());
 * }</pre>
 */
public final class FaultHistory {
    private static final int NODES = 4;
    private static final long QUIET_NANOS = Duration.ofSeconds(1).toNanos();

    private final Plan mPlan;
    private final InProcessFleet mFleet;
    private final List<String> mNodes = new ArrayList<>();
    private final List<String> mBackends = new ArrayList<>();

    /**
     * What a history consists of.
     *
     * @param seed seed of requests and faults
     * @param kinds faults that occur
     * @param requests number of requests
     * @param callers concurrent callers
     * @param interval average time between two requests of a caller
     * @param ordersIdempotent plants a fault: nodes are told that orders may be repeated
     */
    public record Plan(
            long seed,
            Set<FaultKind> kinds,
            int requests,
            int callers,
            Duration interval,
            boolean ordersIdempotent) {}

    private FaultHistory(Plan plan, InProcessFleet fleet) {
        mPlan = plan;
        mFleet = fleet;
    }

    /**
     * Runs a history to its end.
     *
     * @param plan what it consists of
     * @return what was seen and what was wrong
     * @throws Exception when the fleet cannot be started
     */
    public static HistoryReport run(Plan plan) throws Exception {
        try (InProcessFleet fleet = InProcessFleet.start(plan.seed())) {
            FaultHistory history = new FaultHistory(plan, fleet);
            history.startFleet();
            return history.run();
        }
    }

    private void startFleet() throws Exception {
        for (int index = 1; index <= NODES; index++) {
            String node = "calgary-a-" + index;
            String backend = "order-hub-" + index;
            mFleet.addRelayedNode(node, "west-prairie", "calgary-a");
            mFleet.addBackend(node, backend, HistoryRequest.SERVICE, 5, HistoryRequest.WORK_TIMES);
            mNodes.add(node);
            mBackends.add(backend);
        }
        mFleet.change(HistoryRequest.configuration(NODES, mPlan.ordersIdempotent()));
        mFleet.awaitReady();
    }

    private HistoryReport run() throws InterruptedException {
        List<InetSocketAddress> entryNodes =
                mNodes.stream().map(name -> mFleet.settings(name).callers().address()).toList();
        FaultSchedule schedule = new FaultSchedule(mPlan.seed(), mPlan.kinds(), NODES);
        FaultInjector injector = new FaultInjector(mFleet, mNodes, mBackends, schedule);
        long start = System.nanoTime();
        try (HistoryCallers callers =
                new HistoryCallers(mNodes, entryNodes, mPlan.seed(), entry -> true)) {
            try (injector) {
                injector.start();
                callers.run(mPlan.callers(), mPlan.requests(), mPlan.interval());
            }
            Duration duration = Duration.ofNanos(System.nanoTime() - start);
            awaitQuiet();
            HistoryCheck check = check(callers);
            List<String> violations = new ArrayList<>(check.violations());
            injector.failures().forEach(failure -> violations.add("not applied: " + failure));
            if (callers.operations().size() != mPlan.requests()) {
                violations.add(callers.operations().size() + " of the requests were completed");
            }
            return new HistoryReport(
                    mPlan.seed(),
                    mPlan.requests(),
                    duration,
                    injector.applied(),
                    check.results(),
                    check.unknown(),
                    violations);
        }
    }

    private HistoryCheck check(HistoryCallers callers) throws InterruptedException {
        HistoryCheck check = new HistoryCheck(this::executions);
        check.check(callers.operations());
        for (HistoryOperation operation : callers.operations()) {
            if (operation.result() instanceof Result.Unknown(String id, String detail)
                    && !id.isEmpty()) {
                check.checkQueriedOutcome(operation, callers.queryUntilDecided(operation, id));
            }
        }
        return check;
    }

    /** Waits until nothing that runs on after its caller has left is executed any more. */
    private void awaitQuiet() {
        long[] seen = {totalExecutions(), System.nanoTime()};
        InProcessFleet.await(
                "no further execution",
                () -> {
                    long total = totalExecutions();
                    if (total != seen[0]) {
                        seen[0] = total;
                        seen[1] = System.nanoTime();
                    }
                    return System.nanoTime() - seen[1] > QUIET_NANOS;
                });
    }

    private int executions(String token) {
        return mFleet.executions().stream().mapToInt(record -> record.countToken(token)).sum();
    }

    private long totalExecutions() {
        return mFleet.executions().stream().mapToLong(ExecutionRecord::total).sum();
    }
}
