package org.arbutuslock.testbed.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs benchmarks by name and compares their figures with the bounds that the design sets.
 *
 * <pre>{@code
 * bin/bench all --short --seed 7 --output /tmp/bench
 * }</pre>
 */
public final class BenchMain {
    private static final String ALL_BENCHMARKS = "all";

    private BenchMain() {}

    /**
     * Runs benchmarks. Exits 1 when a figure misses its bound or a benchmark fails, 2 on invalid
     * options.
     *
     * @param arguments see {@code --help}
     * @throws IOException when the report cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        System.exit(run(Benchmarks.all(), arguments));
    }

    /** Returns the exit code. */
    static int run(List<Benchmark> benchmarks, String[] arguments) throws IOException {
        ArgumentParser parser = createParser(benchmarks);
        Namespace parsed;
        BenchOutput output;
        try {
            parsed = parser.parseArgs(arguments);
            output = openOutput(parsed.getString("output"), parser);
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            return wrong instanceof HelpScreenException ? 0 : BenchRunner.EXIT_WRONG_OPTIONS;
        }
        System.setProperty("java.awt.headless", "true");
        // Nodes log an event for every session, which would hide the figures on the terminal.
        Logger.getLogger("").setLevel(Level.SEVERE);
        BenchOptions options = new BenchOptions(parsed.getLong("seed"), parsed.getBoolean("short"));
        BenchEnvironment environment = BenchEnvironment.observe(options, arguments);
        String name = parsed.getString("name");
        List<Benchmark> chosen =
                benchmarks.stream()
                        .filter(each -> name.equals(ALL_BENCHMARKS) || name.equals(each.name()))
                        .toList();
        List<BenchReport> reports = runAll(chosen, options);
        output.write(environment, reports);
        System.out.print(BenchOutput.toText(environment, reports));
        boolean met = reports.stream().allMatch(BenchReport::meetsBounds);
        return met ? 0 : BenchRunner.EXIT_MISSED_BOUND;
    }

    private static ArgumentParser createParser(List<Benchmark> benchmarks) {
        StringBuilder description = new StringBuilder("Runs benchmarks and checks their bounds.");
        benchmarks.forEach(
                each ->
                        description
                                .append(' ')
                                .append(each.name())
                                .append(": ")
                                .append(each.description())
                                .append('.'));
        ArgumentParser parser =
                ArgumentParsers.newFor("bench").build().description(description.toString());
        parser.addArgument("name")
                .choices(
                        Stream.concat(
                                        benchmarks.stream().map(Benchmark::name),
                                        Stream.of(ALL_BENCHMARKS))
                                .toList())
                .help("benchmark to run");
        parser.addArgument("--short")
                .action(Arguments.storeTrue())
                .help("use fewer seeds, requests and simulated seconds");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(BenchRunner.FIRST_SEED)
                .help("seed of all random choices");
        parser.addArgument("--output")
                .setDefault("bench-output")
                .help("directory for report.txt, report.json and plots");
        return parser;
    }

    private static BenchOutput openOutput(String directory, ArgumentParser parser)
            throws ArgumentParserException {
        try {
            return new BenchOutput(Path.of(directory));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new ArgumentParserException(
                    "--output " + directory + " cannot be created as a directory: " + e, parser);
        }
    }

    private static List<BenchReport> runAll(List<Benchmark> chosen, BenchOptions options) {
        List<BenchReport> reports = new ArrayList<>();
        for (Benchmark benchmark : chosen) {
            System.err.printf(
                    "[%d/%d] %s: %s%n",
                    reports.size() + 1, chosen.size(), benchmark.name(), benchmark.description());
            long start = System.nanoTime();
            BenchReport report = runOne(benchmark, options);
            report.figure("duration of the run", (System.nanoTime() - start) / 1e9, "s");
            reports.add(report);
        }
        return reports;
    }

    /**
     * Runs one benchmark. A failure is added to the report, so that the other benchmarks still run.
     */
    private static BenchReport runOne(Benchmark benchmark, BenchOptions options) {
        try {
            return benchmark.run(options);
        } catch (Exception | AssertionError e) {
            e.printStackTrace();
            BenchReport report = new BenchReport(benchmark.name(), options.seed());
            report.failure("the run failed: " + e);
            return report;
        }
    }
}
