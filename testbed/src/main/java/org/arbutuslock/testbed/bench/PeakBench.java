package org.arbutuslock.testbed.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.HdrHistogram.Histogram;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.arbutuslock.testbed.load.ArrivalPattern;
import org.arbutuslock.testbed.load.KindReport;
import org.arbutuslock.testbed.load.LoadGenerator;
import org.arbutuslock.testbed.load.LoadPlan;
import org.arbutuslock.testbed.load.LoadReport;
import org.arbutuslock.testbed.load.LoadResult;
import org.arbutuslock.testbed.load.LoadSample;
import org.arbutuslock.testbed.load.LoadStep;

/**
 * Offers 0.5, 1, 2, 4 and again 0.5 times the capacity of the test backend servers; each change
 * takes less than a second. The capacity is measured first, without nodes in between.
 *
 * <pre>{@code
 * java -cp ... org.arbutuslock.testbed.bench.PeakBench --seed 7
 * }</pre>
 */
public final class PeakBench implements Bench {
    private static final double MINIMUM_COMPLETED_SHARE = 0.9;
    private static final double MAXIMUM_REFUSAL_P99_MILLIS = 50;
    private static final double MAXIMUM_RECOVERY_SECONDS = 2;
    private static final double[] FACTORS = {0.5, 1, 2, 4, 0.5};
    private static final int STEP_AT_TWICE = 2;
    private static final int STEP_AT_FOUR_TIMES = 3;
    private static final int STEP_AFTER_PEAK = 4;
    private static final int HOME_NODES = 2;
    private static final int SLOTS = 5;
    private static final int SERVICE_MILLIS = 20;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final int CONNECTIONS = 2_000;
    private static final int CAPACITY_SECONDS = 4;
    private static final double CAPACITY_OFFER = 1.5;
    // More than the slots, so that a backend server always has a request in its own queue.
    private static final int CAPACITY_CONNECTIONS = 4 * SLOTS;
    private static final long WINDOW_NANOS = Duration.ofMillis(250).toNanos();
    private static final double HEALTHY_SHARE = 0.98;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MICROS_PER_MILLI = 1_000;

    PeakBench() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments command-line options
     * @throws Exception when the fleet cannot be started
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(BenchRunner.run(new PeakBench(), arguments));
    }

    @Override
    public String description() {
        return "Service at the peak of a load swing.";
    }

    @Override
    public void addOptions(ArgumentParser parser) {
        BenchRunner.addNumber(parser, "--step-seconds", 2, 60, 5, "length of a step");
    }

    @Override
    public void measure(Namespace options, BenchReport report) throws Exception {
        long seed = options.getLong("seed");
        WorkTimes times = WorkTimes.of(SERVICE_MILLIS, 200_000, 20_000_000);
        try (BenchFleet fleet =
                BenchFleet.start(
                        seed, 1, HOME_NODES, SLOTS, times, DEADLINE_MILLIS, WorkClass.LONG)) {
            report.progress("measuring the capacity of the stand-ins");
            double capacity = measureCapacity(fleet, seed);
            report.figure("capacity of the stand-ins", capacity, "1/s");
            List<LoadStep> steps = new ArrayList<>();
            Duration length = Duration.ofSeconds(options.getInt("step_seconds"));
            for (double factor : FACTORS) {
                steps.add(new LoadStep(factor * capacity, length));
            }
            report.progress("warming up");
            InetSocketAddress entry = fleet.callerAddress("entry-0");
            run(List.of(new LoadStep(capacity / 2, length)), entry, seed + 1, sample -> {});
            report.progress(steps.size() + " steps of " + length.toSeconds() + " s");
            Queue<LoadSample> samples = new ConcurrentLinkedQueue<>();
            LoadReport load = run(steps, entry, seed, samples::add);
            report.progress("\n" + load.toTable());
            addFigures(report, load, capacity, length);
            addRecovery(report, samples, length);
        }
    }

    /** Offers 1.5 times the nominal capacity and returns the completed requests per second. */
    private static double measureCapacity(BenchFleet fleet, long seed) throws InterruptedException {
        List<InetSocketAddress> backends =
                fleet.backends().stream().map(fleet::backendAddress).toList();
        double nominal = HOME_NODES * SLOTS * 1_000.0 / SERVICE_MILLIS;
        Duration length = Duration.ofSeconds(CAPACITY_SECONDS);
        LoadPlan plan =
                new LoadPlan(
                        backends,
                        List.of(new LoadStep(CAPACITY_OFFER * nominal, length)),
                        List.of(BenchFleet.LOOKUP),
                        ArrivalPattern.UNIFORM,
                        CAPACITY_CONNECTIONS,
                        1,
                        length.multipliedBy(2),
                        seed);
        Queue<LoadSample> samples = new ConcurrentLinkedQueue<>();
        LoadGenerator.run(plan, samples::add);
        long completed =
                samples.stream()
                        .filter(sample -> sample.result() == LoadResult.SUCCESS)
                        .filter(sample -> completedNanos(sample) <= length.toNanos())
                        .count();
        return completed / (double) CAPACITY_SECONDS;
    }

    private static LoadReport run(
            List<LoadStep> steps,
            InetSocketAddress entry,
            long seed,
            java.util.function.Consumer<LoadSample> listener)
            throws InterruptedException {
        return LoadGenerator.run(
                new LoadPlan(
                        List.of(entry),
                        steps,
                        List.of(BenchFleet.LOOKUP),
                        ArrivalPattern.POISSON,
                        CONNECTIONS,
                        1,
                        Duration.ofMillis(2 * DEADLINE_MILLIS),
                        seed),
                listener);
    }

    private static long completedNanos(LoadSample sample) {
        return sample.intendedNanos() + sample.latencyNanos();
    }

    private static void addFigures(
            BenchReport report, LoadReport load, double capacity, Duration length) {
        Histogram refusalMicros = new Histogram(3);
        for (int step = 0; step < FACTORS.length; step++) {
            KindReport lookups = load.kind(step, BenchFleet.LOOKUP.name());
            refusalMicros.add(lookups.otherStatusMicros());
            long inTime =
                    lookups.successMicros()
                            .getCountBetweenValues(0, (long) (DEADLINE_MILLIS * MICROS_PER_MILLI));
            double share = inTime / (capacity * length.toSeconds());
            String name = "completed in the deadline at " + FACTORS[step] + "x, of capacity";
            if (step == STEP_AT_TWICE || step == STEP_AT_FOUR_TIMES) {
                report.atLeast(name, share, MINIMUM_COMPLETED_SHARE, "share");
            } else {
                report.figure(name, share, "share");
            }
        }
        KindReport total = load.total();
        report.figure("refusals", refusalMicros.getTotalCount(), "requests");
        report.figure("refusals p50", refusalMicros.getValueAtPercentile(50) / 1e3, "ms");
        report.atMost(
                "refusals p99",
                refusalMicros.getValueAtPercentile(99) / 1e3,
                MAXIMUM_REFUSAL_P99_MILLIS,
                "ms");
        report.figure("refusals longest", refusalMicros.getMaxValue() / 1e3, "ms");
        report.atMost(
                "neither completed nor refused",
                total.total()
                        - total.count(LoadResult.SUCCESS)
                        - total.outcomes().getOrDefault("not-run", 0L),
                0,
                "requests");
    }

    /**
     * Adds the time from the drop of the load to the end of the last window that is not healthy.
     */
    private static void addRecovery(
            BenchReport report, Queue<LoadSample> samples, Duration length) {
        long dropNanos = STEP_AFTER_PEAK * length.toNanos();
        double baseline = medianMillis(samples, 0, length.toNanos());
        double recoveredSeconds = 0;
        for (long start = dropNanos; start < dropNanos + length.toNanos(); start += WINDOW_NANOS) {
            if (!isHealthy(samples, start, baseline)) {
                recoveredSeconds = (start + WINDOW_NANOS - dropNanos) / NANOS_PER_SECOND;
            }
        }
        report.figure("p50 before the peak", baseline, "ms");
        report.atMost("recovery after the drop", recoveredSeconds, MAXIMUM_RECOVERY_SECONDS, "s");
    }

    private static boolean isHealthy(
            Queue<LoadSample> samples, long startNanos, double baselineMillis) {
        long endNanos = startNanos + WINDOW_NANOS;
        long arrived =
                samples.stream().filter(sample -> isIn(sample, startNanos, endNanos)).count();
        long successes =
                samples.stream()
                        .filter(sample -> isIn(sample, startNanos, endNanos))
                        .filter(sample -> sample.result() == LoadResult.SUCCESS)
                        .count();
        return successes >= HEALTHY_SHARE * arrived
                && medianMillis(samples, startNanos, endNanos) <= 2 * baselineMillis;
    }

    private static boolean isIn(LoadSample sample, long startNanos, long endNanos) {
        return sample.intendedNanos() >= startNanos && sample.intendedNanos() < endNanos;
    }

    private static double medianMillis(Queue<LoadSample> samples, long startNanos, long endNanos) {
        double[] sorted =
                samples.stream()
                        .filter(sample -> isIn(sample, startNanos, endNanos))
                        .filter(sample -> sample.result() == LoadResult.SUCCESS)
                        .mapToDouble(sample -> sample.latencyNanos() / 1e6)
                        .sorted()
                        .toArray();
        return sorted.length == 0 ? Double.POSITIVE_INFINITY : sorted[sorted.length / 2];
    }
}
