package org.arbutuslock.testbed.bench;

import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.testbed.fault.PlannedStops;

/**
 * Shuts down every node gracefully and removes every backend server from service, under load.
 *
 * <pre>{@code
 * java -cp ... org.arbutuslock.testbed.bench.ShutdownBench --callers 16
 * }</pre>
 */
public final class ShutdownBench implements Bench {
    private static final double MAXIMUM_DEPARTURE_SECONDS = 3;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int LISTED_FAILURES = 20;

    ShutdownBench() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments command-line options
     * @throws Exception when the fleet cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(BenchRunner.run(new ShutdownBench(), arguments));
    }

    @Override
    public String description() {
        return "Planned stops of nodes and backend servers under load.";
    }

    @Override
    public void addOptions(ArgumentParser parser) {
        BenchRunner.addNumber(parser, "--callers", 1, 500, 16, "concurrent callers");
        BenchRunner.addNumber(
                parser, "--interval-millis", 1, 10_000, 40, "time between requests of a caller");
    }

    @Override
    public void measure(Namespace options, BenchReport report) throws Exception {
        PlannedStops.Report stops =
                PlannedStops.run(
                        options.getLong("seed"),
                        options.getInt("callers"),
                        Duration.ofMillis(options.getInt("interval_millis")),
                        report::progress);
        stops.failures().stream().limit(LISTED_FAILURES).forEach(report::progress);
        report.figure("requests", stops.requests(), "requests");
        report.atMost("failed requests", stops.failures().size(), 0, "requests");
        report.figure("longest shutdown of a node", longestSeconds(stops.drains()), "s");
        report.atMost(
                "longest departure of a backend server",
                longestSeconds(stops.departures()),
                MAXIMUM_DEPARTURE_SECONDS,
                "s");
        report.detail("failures", stops.failures());
    }

    private static double longestSeconds(List<Duration> durations) {
        return durations.stream().mapToLong(Duration::toMillis).max().orElseThrow()
                / MILLIS_PER_SECOND;
    }
}
