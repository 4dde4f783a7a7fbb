package org.arbutuslock.testbed.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Measures detection times and false ejections of the health detector and of two baseline rules on
 * the same simulated requests. A cell is one combination of fault or noise, group size and load.
 *
 * <pre>{@code
 * java -cp ... org.arbutuslock.testbed.bench.DetectionBench --seeds 200 --output detection.json
 * }</pre>
 */
public final class DetectionBench {
    /** Bound of the 95th percentile of the detection time at 20 requests/s per server and more. */
    public static final double BOUND_SECONDS = 5;

    /** Bound of the 95th percentile of the detection time below 20 requests/s per server. */
    public static final double THIN_BOUND_SECONDS = 30;

    /** Exclusive upper bound of the false ejections per 100 server-hours. */
    public static final double FALSE_EJECTION_BOUND = 1;

    private static final int THREADS = 2;
    private static final int EXIT_BOUND = 1;
    private static final int EXIT_OPTIONS = 2;

    /**
     * Simulated length of a run with noise. Without an event in 200 such runs of 8 servers, the
     * rate is at most 0.82 per 100 server-hours with 95% confidence.
     */
    private static final int NOISE_SECONDS = 820;

    private static final int FAULT_SECONDS = 160;

    /**
     * Result of one cell.
     *
     * @param name name of the cell
     * @param bound bound of the figure, in the unit of the figure
     * @param figure 95th percentile in seconds, or false ejections per 100 server-hours
     * @param passed whether the figure meets the bound
     * @param serverHours simulated server-hours
     * @param consecutiveErrors the same figure for the baseline that ejects after five consecutive
     *     errors
     * @param latencyOutlier the same figure for the baseline that ejects above three times the mean
     *     latency of the group
     * @param falseEjections false ejections per 100 server-hours, also in cells with a fault
     * @param probesPerSecond probes per second and server
     */
    public record Line(
            String name,
            double bound,
            double figure,
            boolean passed,
            double serverHours,
            double consecutiveErrors,
            double latencyOutlier,
            double falseEjections,
            double probesPerSecond) {}

    private DetectionBench() {}

    /**
     * Runs the benchmark. Exits 1 when a figure misses its bound, 2 on invalid options.
     *
     * @param arguments see {@code --help}
     * @throws Exception when a run fails or the output cannot be written
     */
    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("detection-bench").build();
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("first seed");
        parser.addArgument("--seeds").type(Integer.class).setDefault(200).help("seeds per cell");
        parser.addArgument("--only").setDefault("").help("run cells whose name contains this");
        parser.addArgument("--output").setDefault("").help("write JSON to this file");
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
            if (options.getInt("seeds") < 1) {
                throw new ArgumentParserException("--seeds must be at least 1", parser);
            }
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            System.exit(EXIT_OPTIONS);
            return;
        }
        List<DetectionCase> cases = new ArrayList<>();
        for (DetectionCase benchCase : cases()) {
            if (benchCase.name().contains(options.getString("only"))) {
                cases.add(benchCase);
            }
        }
        List<Line> lines = run(cases, options.getLong("seed"), options.getInt("seeds"), System.out);
        write(options.getString("output"), lines);
        boolean passed = lines.stream().allMatch(Line::passed);
        System.exit(passed ? 0 : EXIT_BOUND);
    }

    /**
     * Lists all cells: faults and noise, groups of 8 servers with 5 slots and of 14 with 3.
     *
     * @return cells in the order in which the results are printed
     */
    public static List<DetectionCase> cases() {
        List<DetectionCase> cases = new ArrayList<>();
        for (DetectionCase.Fault fault : DetectionCase.Fault.values()) {
            if (fault == DetectionCase.Fault.NONE) {
                continue;
            }
            for (double rate : new double[] {1, 20, 60}) {
                cases.add(faultCase(fault, 8, 5, rate));
                cases.add(faultCase(fault, 14, 3, rate));
            }
        }
        for (DetectionCase.Noise noise : DetectionCase.Noise.values()) {
            for (double rate : new double[] {1, 20}) {
                cases.add(noiseCase(noise, 8, 5, rate));
                cases.add(noiseCase(noise, 14, 3, rate));
            }
        }
        return cases;
    }

    private static DetectionCase faultCase(
            DetectionCase.Fault fault, int servers, int slots, double rate) {
        return new DetectionCase(
                fault, DetectionCase.Noise.PLAIN, servers, slots, rate, FAULT_SECONDS);
    }

    private static DetectionCase noiseCase(
            DetectionCase.Noise noise, int servers, int slots, double rate) {
        return new DetectionCase(
                DetectionCase.Fault.NONE, noise, servers, slots, rate, NOISE_SECONDS);
    }

    /**
     * Runs cells and prints a line for each.
     *
     * @param cases cells to run
     * @param seed first seed; the others follow it by one each
     * @param seeds number of seeds per cell
     * @param out receives the table of results
     * @return one line per cell
     * @throws InterruptedException when the thread is interrupted while it waits for a run
     * @throws ExecutionException when a run fails
     */
    public static List<Line> run(List<DetectionCase> cases, long seed, int seeds, PrintStream out)
            throws InterruptedException, ExecutionException {
        out.printf(Locale.ROOT, "detection, %d seeds from %d%n", seeds, seed);
        out.printf(
                Locale.ROOT,
                "%-52s %6s %8s %4s %8s %9s %9s %7s %7s%n",
                "cell",
                "bound",
                "figure",
                "",
                "hours",
                "errors",
                "latency",
                "false",
                "probes");
        List<Line> lines = new ArrayList<>();
        try (ExecutorService executor = Executors.newFixedThreadPool(THREADS)) {
            for (DetectionCase benchCase : cases) {
                Line line = summarize(benchCase, runSeeds(benchCase, seed, seeds, executor));
                lines.add(line);
                print(line, out);
            }
        }
        return lines;
    }

    private static DetectionResult[] runSeeds(
            DetectionCase benchCase, long seed, int seeds, ExecutorService executor)
            throws InterruptedException, ExecutionException {
        List<Future<DetectionResult[]>> runs = new ArrayList<>();
        for (int index = 0; index < seeds; index++) {
            long runSeed = seed + index;
            runs.add(executor.submit(() -> new DetectionRun(benchCase, runSeed).run()));
        }
        DetectionResult[] total = {
            new DetectionResult(), new DetectionResult(), new DetectionResult()
        };
        for (Future<DetectionResult[]> run : runs) {
            DetectionResult[] results = run.get();
            for (int rule = 0; rule < total.length; rule++) {
                total[rule].add(results[rule]);
            }
        }
        return total;
    }

    private static Line summarize(DetectionCase benchCase, DetectionResult[] results) {
        boolean fault = benchCase.fault() != DetectionCase.Fault.NONE;
        double thinRate = 20;
        double detectionBound =
                benchCase.requestsPerSecond() < thinRate ? THIN_BOUND_SECONDS : BOUND_SECONDS;
        double bound = fault ? detectionBound : FALSE_EJECTION_BOUND;
        double figure = figure(fault, results[0]);
        return new Line(
                benchCase.name(),
                bound,
                figure,
                fault ? figure <= bound : figure < bound,
                results[0].serverHours(),
                figure(fault, results[1]),
                figure(fault, results[2]),
                results[0].falseEjectionsPer100Hours(),
                results[0].probesPerServerSecond());
    }

    private static double figure(boolean fault, DetectionResult result) {
        return fault ? result.detectionSeconds(95) : result.falseEjectionsPer100Hours();
    }

    private static void print(Line line, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%-52s %6.1f %8.2f %4s %8.1f %9.2f %9.2f %7.2f %7.3f%n",
                line.name(),
                line.bound(),
                line.figure(),
                line.passed() ? "ok" : "PAST",
                line.serverHours(),
                line.consecutiveErrors(),
                line.latencyOutlier(),
                line.falseEjections(),
                line.probesPerSecond());
    }

    private static void write(String output, List<Line> lines) throws IOException {
        if (!output.isEmpty()) {
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .writeValue(Path.of(output).toFile(), lines);
        }
    }
}
