package org.arbutuslock.testbed.fault;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/**
 * Guards against requests that are executed twice, are reported as not run although they were
 * executed, or get a truncated response or that of another request, when connections or processes
 * fail while requests are in flight. {@code FaultHistoryBench} runs the same checks for longer.
 */
public class FaultHistoryTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20_261_204L);

    @Test
    public void should_know_every_outcome_when_only_connections_fail() throws Exception {
        HistoryReport report = run(FaultKind.ofConnections(), 1_500, false);
        assertEquals(report.violations(), List.of());
        assertEquals(report.unknown(), 0, report.describe());
    }

    @Test
    public void should_report_outcomes_truthfully_when_processes_fail() throws Exception {
        HistoryReport report = run(EnumSet.allOf(FaultKind.class), 1_500, false);
        assertEquals(report.violations(), List.of());
    }

    @Test
    public void should_detect_orders_that_are_retried_without_querying_their_outcome()
            throws Exception {
        // During the partition orders are executed, but their responses are held back. Because the
        // routes declare orders idempotent, the nodes retry them, which the check must detect.
        Set<FaultKind> faults = EnumSet.of(FaultKind.RESET, FaultKind.PARTITION_FROM_NODE);
        HistoryReport report = run(faults, 1_000, true);
        assertTrue(
                report.violations().stream().anyMatch(text -> text.contains("executed 2 times")),
                report.describe());
    }

    private static HistoryReport run(Set<FaultKind> kinds, int requests, boolean ordersIdempotent)
            throws Exception {
        Duration interval = Duration.ofMillis(80);
        HistoryReport report =
                FaultHistory.run(
                        new FaultHistory.Plan(
                                SEED, kinds, requests, 16, interval, ordersIdempotent));
        System.out.println(report.describe());
        return report;
    }
}
