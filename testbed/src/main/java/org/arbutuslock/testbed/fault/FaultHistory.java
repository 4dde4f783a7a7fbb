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
 * Sends requests through a fleet while faults are injected, and checks the results that the callers
 * got against the executions at the backend servers.
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
     * Parameters of a history.
     *
     * @param seed seed of requests and faults
     * @param kinds kinds of fault to inject
     * @param requests number of requests
     * @param callers number of concurrent callers
     * @param interval average time between two requests of a caller
     * @param ordersIdempotent true injects a configuration error: nodes may retry orders although a
     *     second execution is a violation
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
     * Runs a history and blocks until all requests have completed and are checked.
     *
     * @param plan parameters of the history
     * @return results and violations
     * @throws Exception if the fleet cannot be started
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
            injector.failures()
                    .forEach(failure -> violations.add("fault could not be applied: " + failure));
            if (callers.operations().size() != mPlan.requests()) {
                violations.add(
                        callers.operations().size()
                                + " requests completed, which is not the number in the plan");
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

    /**
     * Waits until no request was executed for 1 s. Requests can still run after their caller has
     * given up on them.
     */
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
