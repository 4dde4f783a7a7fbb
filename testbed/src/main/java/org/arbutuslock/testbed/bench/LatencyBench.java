package org.arbutuslock.testbed.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.HdrHistogram.Histogram;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.arbutuslock.testbed.load.ArrivalPattern;
import org.arbutuslock.testbed.load.KindReport;
import org.arbutuslock.testbed.load.LoadGenerator;
import org.arbutuslock.testbed.load.LoadPlan;
import org.arbutuslock.testbed.load.LoadResult;
import org.arbutuslock.testbed.load.LoadStep;

/**
 * Measures the latency that two nodes add to a request. Rounds that send requests directly to a
 * test backend server alternate with rounds through an entry node and a home node.
 *
 * <pre>{@code
 * java -cp ... org.arbutuslock.testbed.bench.LatencyBench --rate 300 --rounds 7
 * }</pre>
 */
public final class LatencyBench implements Bench {
    private static final double MAXIMUM_ADDED_P99_MILLIS = 2.6;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final int SLOTS = 64;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int CONNECTIONS = 64;
    private static final WorkTimes TIMES = WorkTimes.of(2, 200_000, 20_000_000);
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Results of all rounds on one request path: direct or through two nodes. */
    private static final class RequestPath {
        private final InetSocketAddress mTarget;
        private final Histogram mMicros = new Histogram(3);
        private final List<Double> mP50Millis = new ArrayList<>();
        private final List<Double> mP99Millis = new ArrayList<>();
        private ProcessCost mCost = new ProcessCost(0, 0);
        private long mRequests;
        private long mFailed;

        private RequestPath(InetSocketAddress target) {
            mTarget = target;
        }

        private double cpuMicros() {
            return mCost.cpuNanos() / 1e3 / mRequests;
        }

        private double allocatedKilobytes() {
            return mCost.allocatedBytes() / 1e3 / mRequests;
        }
    }

    LatencyBench() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments command-line options
     * @throws Exception when the fleet cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(BenchRunner.run(new LatencyBench(), arguments));
    }

    @Override
    public String description() {
        return "Latency that two nodes add to a request, and their cost.";
    }

    @Override
    public void addOptions(ArgumentParser parser) {
        BenchRunner.addNumber(parser, "--rate", 1, 10_000, 300, "requests per second");
        BenchRunner.addNumber(parser, "--rounds", 1, 100, 7, "rounds on each way");
        BenchRunner.addNumber(parser, "--round-seconds", 1, 60, 3, "length of a round");
        BenchRunner.addNumber(parser, "--warm-up-rounds", 0, 100, 3, "rounds that do not count");
    }

    @Override
    public void measure(Namespace options, BenchReport report) throws Exception {
        long seed = options.getLong("seed");
        try (BenchFleet fleet =
                BenchFleet.start(seed, 1, 1, SLOTS, TIMES, DEADLINE_MILLIS, WorkClass.LONG)) {
            RequestPath direct = new RequestPath(fleet.backendAddress(BenchFleet.SERVICE + "-0"));
            RequestPath proxied = new RequestPath(fleet.callerAddress("entry-0"));
            int warmUp = options.getInt("warm_up_rounds");
            int rounds = warmUp + options.getInt("rounds");
            for (int round = 0; round < rounds; round++) {
                report.progress("round " + (round + 1) + " of " + rounds);
                runRound(options, direct, seed + round, round >= warmUp);
                runRound(options, proxied, seed + round, round >= warmUp);
            }
            addFigures(report, direct, proxied);
        }
    }

    private static void runRound(Namespace options, RequestPath path, long seed, boolean counts)
            throws InterruptedException {
        Duration length = Duration.ofSeconds(options.getInt("round_seconds"));
        LoadPlan plan =
                new LoadPlan(
                        List.of(path.mTarget),
                        List.of(new LoadStep(options.getInt("rate"), length)),
                        List.of(BenchFleet.LOOKUP),
                        ArrivalPattern.POISSON,
                        CONNECTIONS,
                        1,
                        TIMEOUT,
                        seed);
        ProcessCost before = ProcessCost.now();
        KindReport result = LoadGenerator.run(plan, sample -> {}).total();
        if (!counts) {
            return;
        }
        path.mCost = path.mCost.plus(ProcessCost.now().since(before));
        path.mRequests += result.total();
        path.mFailed += result.total() - result.count(LoadResult.SUCCESS);
        path.mMicros.add(result.successMicros());
        path.mP50Millis.add(percentile(result.successMicros(), 50));
        path.mP99Millis.add(percentile(result.successMicros(), 99));
    }

    private static double percentile(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private static void addFigures(BenchReport report, RequestPath direct, RequestPath proxied) {
        report.atMost("failed requests", direct.mFailed + proxied.mFailed, 0, "requests");
        for (double percentile : new double[] {50, 99}) {
            double directMillis = percentile(direct.mMicros, percentile);
            double proxiedMillis = percentile(proxied.mMicros, percentile);
            report.figure("direct p" + (int) percentile, directMillis, "ms");
            report.figure("through two nodes p" + (int) percentile, proxiedMillis, "ms");
            report.figure(
                    "added p" + (int) percentile + ", all rounds together",
                    proxiedMillis - directMillis,
                    "ms");
        }
        report.figure(
                "added p50, median of rounds",
                medianDifference(proxied.mP50Millis, direct.mP50Millis),
                "ms");
        // Uses the median of rounds, since one pause of a shared machine can decide the overall
        // p99.
        report.atMost(
                "added p99, median of rounds",
                medianDifference(proxied.mP99Millis, direct.mP99Millis),
                MAXIMUM_ADDED_P99_MILLIS,
                "ms");
        double cpuMicros = proxied.cpuMicros() - direct.cpuMicros();
        report.figure("processor time added per request", cpuMicros, "us");
        report.figure("requests per second and core of nodes", 1e6 / cpuMicros, "1/s");
        report.figure(
                "allocation added per request",
                proxied.allocatedKilobytes() - direct.allocatedKilobytes(),
                "kB");
    }

    private static double medianDifference(List<Double> larger, List<Double> smaller) {
        List<Double> differences = new ArrayList<>();
        for (int round = 0; round < larger.size(); round++) {
            differences.add(larger.get(round) - smaller.get(round));
        }
        Collections.sort(differences);
        return differences.get(differences.size() / 2);
    }
}
