package org.arbutuslock.testbed.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.arbutuslock.testbed.load.ArrivalPattern;
import org.arbutuslock.testbed.load.KindReport;
import org.arbutuslock.testbed.load.LoadGenerator;
import org.arbutuslock.testbed.load.LoadPlan;
import org.arbutuslock.testbed.load.LoadReport;
import org.arbutuslock.testbed.load.LoadResult;
import org.arbutuslock.testbed.load.LoadStep;
import org.arbutuslock.testbed.load.RequestKind;

/**
 * Measures the latency of short requests while downloads that take 20 times as long occupy every
 * slot that is not reserved for short work. Rounds with downloads alternate with rounds of short
 * requests alone. A second measurement reserves no slots.
 *
 * <pre>{@code
 * java -cp ... org.arbutuslock.testbed.bench.HeadOfLineBench --rounds 5
 * }</pre>
 */
public final class HeadOfLineBench implements Bench {
    private static final double MAXIMUM_RATIO = 2;
    private static final int SLOTS = 5;
    private static final int SHORT_MILLIS = 10;
    private static final int LENGTH_FACTOR = 20;
    private static final int LONG_BYTES_PER_SECOND = 1_000_000;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final double SHORT_PER_SECOND = 40;
    // Above the 15 downloads a second that the three unreserved slots complete.
    private static final double DOWNLOADS_PER_SECOND = 25;
    private static final int CONNECTIONS = 500;
    private static final double MICROS_PER_MILLI = 1_000;

    HeadOfLineBench() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments command-line options
     * @throws Exception when the fleet cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(BenchRunner.run(new HeadOfLineBench(), arguments));
    }

    @Override
    public String description() {
        return "Short work while downloads hold every spare slot.";
    }

    @Override
    public void addOptions(ArgumentParser parser) {
        BenchRunner.addNumber(parser, "--rounds", 1, 100, 3, "rounds of each kind");
        BenchRunner.addNumber(parser, "--round-seconds", 1, 60, 6, "length of a round");
    }

    @Override
    public void measure(Namespace options, BenchReport report) throws Exception {
        double reserved = measureRatio(options, report, WorkClass.LONG, "with reserve");
        report.atMost("short p99 with downloads, with reserve", reserved, MAXIMUM_RATIO, "x alone");
        double unreserved = measureRatio(options, report, WorkClass.SHORT, "without reserve");
        report.figure("short p99 with downloads, without reserve", unreserved, "x alone");
    }

    private static double measureRatio(
            Namespace options, BenchReport report, WorkClass downloadClass, String name)
            throws Exception {
        long seed = options.getLong("seed");
        int longMillis = (LENGTH_FACTOR - 1) * SHORT_MILLIS;
        WorkTimes times =
                WorkTimes.of(
                        SHORT_MILLIS,
                        longMillis * LONG_BYTES_PER_SECOND / 1_000,
                        LONG_BYTES_PER_SECOND);
        List<Double> alone = new ArrayList<>();
        List<Double> loaded = new ArrayList<>();
        try (BenchFleet fleet =
                BenchFleet.start(seed, 1, 1, SLOTS, times, DEADLINE_MILLIS, downloadClass)) {
            InetSocketAddress entry = fleet.callerAddress("entry-0");
            runRound(options, entry, seed, false);
            runRound(options, entry, seed, true);
            for (int round = 1; round <= options.getInt("rounds"); round++) {
                report.progress(name + ", round " + round);
                LoadReport shortOnly = runRound(options, entry, seed + round, false);
                alone.add(addRound(report, name + ", alone", shortOnly));
                LoadReport mixed = runRound(options, entry, seed + round, true);
                loaded.add(addRound(report, name + ", downloads", mixed));
            }
        }
        return median(loaded) / median(alone);
    }

    private static LoadReport runRound(
            Namespace options, InetSocketAddress entry, long seed, boolean downloads)
            throws InterruptedException {
        List<RequestKind> kinds = new ArrayList<>();
        kinds.add(RequestKind.get("lookup", "/price", SHORT_PER_SECOND));
        if (downloads) {
            kinds.add(RequestKind.get("download", "/long/bundle", DOWNLOADS_PER_SECOND));
        }
        double rate = kinds.stream().mapToDouble(RequestKind::share).sum();
        Duration length = Duration.ofSeconds(options.getInt("round_seconds"));
        return LoadGenerator.run(
                new LoadPlan(
                        List.of(entry),
                        List.of(new LoadStep(rate, length)),
                        kinds,
                        ArrivalPattern.POISSON,
                        CONNECTIONS,
                        1,
                        Duration.ofMillis(3 * DEADLINE_MILLIS),
                        seed),
                sample -> {});
    }

    /** Adds the figures of one round and returns the p99 latency of short requests in ms. */
    private static double addRound(BenchReport report, String name, LoadReport load) {
        report.progress("\n" + load.toTable());
        KindReport lookups = load.kind("lookup");
        long lost = lookups.total() - lookups.count(LoadResult.SUCCESS);
        report.figure(name + ": short p50", percentile(lookups, 50), "ms");
        report.figure(name + ": short p99", percentile(lookups, 99), "ms");
        report.figure(name + ": short requests without response", lost, "requests");
        return percentile(lookups, 99);
    }

    private static double percentile(KindReport lookups, double percentile) {
        return lookups.successMicros().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2);
    }
}
