package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.testbed.fault.FaultHistory;
import org.arbutuslock.testbed.fault.FaultKind;
import org.arbutuslock.testbed.fault.HistoryReport;

/**
 * Runs two long fault histories and checks what callers saw: one in which only connections between
 * nodes fail, and one in which processes fail too.
 *
 * <pre>{@code
 * java -cp ... org.arbutuslock.testbed.bench.FaultHistoryBench --seed 7 --requests 20000
 * }</pre>
 */
public final class FaultHistoryBench implements Bench {
    private static final int CALLERS = 24;
    private static final Duration INTERVAL = Duration.ofMillis(60);
    private static final int MAXIMUM_REQUESTS = 1_000_000;

    FaultHistoryBench() {}

    /**
     * Runs the histories.
     *
     * @param arguments command-line options
     * @throws Exception when the fleet cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(BenchRunner.run(new FaultHistoryBench(), arguments));
    }

    @Override
    public String description() {
        return "Checks what callers saw under faults against what backend servers executed.";
    }

    @Override
    public void addOptions(ArgumentParser parser) {
        BenchRunner.addNumber(
                parser, "--requests", 1, MAXIMUM_REQUESTS, 20_000, "requests of each history");
    }

    @Override
    public void measure(Namespace options, BenchReport report) throws Exception {
        HistoryReport connections = run(options, report, FaultKind.ofConnections());
        add(report, "connections", connections);
        report.atMost("connections: unknown outcomes", connections.unknown(), 0, "requests");
        HistoryReport processes = run(options, report, EnumSet.allOf(FaultKind.class));
        add(report, "processes", processes);
        report.figure("processes: unknown outcomes", processes.unknown(), "requests");
    }

    private static HistoryReport run(Namespace options, BenchReport report, Set<FaultKind> kinds)
            throws Exception {
        report.progress(options.getInt("requests") + " requests under " + kinds);
        HistoryReport history =
                FaultHistory.run(
                        new FaultHistory.Plan(
                                options.getLong("seed"),
                                kinds,
                                options.getInt("requests"),
                                CALLERS,
                                INTERVAL,
                                false));
        report.progress(history.describe());
        return history;
    }

    private static void add(BenchReport report, String name, HistoryReport history) {
        report.figure(name + ": requests", history.requests(), "requests");
        report.figure(
                name + ": faults",
                history.faults().values().stream().mapToInt(Integer::intValue).sum(),
                "faults");
        report.figure(name + ": refused as not run", history.count("NotRun"), "requests");
        report.figure(name + ": broken and seen as broken", history.count("Broken"), "requests");
        report.atMost(name + ": violations", history.violations().size(), 0, "requests");
        report.detail(name, history.toFields());
    }
}
