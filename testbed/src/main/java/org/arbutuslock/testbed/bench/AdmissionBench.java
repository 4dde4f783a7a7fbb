package org.arbutuslock.testbed.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Simulates one overloaded backend server twice: with admission control, and with a first-in
 * first-out queue and a fixed concurrency limit for comparison. Exits 1 when admission control
 * misses a bound, 2 on invalid options.
 *
 * <pre>{@code
 * java -cp ... org.arbutuslock.testbed.bench.AdmissionBench --seed 7 --runs 5 --format json
 * }</pre>
 */
public final class AdmissionBench implements Benchmark {
    private static final int[] SLOTS = {5, 3};
    private static final int EXIT_MISSED_BOUND = 1;
    private static final int EXIT_WRONG_OPTIONS = 2;
    private static final int MAXIMUM_RUNS = 1_000;
    private static final int RUNS = 5;

    AdmissionBench() {}

    @Override
    public String name() {
        return "admission";
    }

    @Override
    public String description() {
        return "Work, refusals and recovery of one overloaded backend server, simulated";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        BenchReport report = new BenchReport(name(), options.seed());
        List<AdmissionResult> all = measureAll(options.seed(), options.choose(1, RUNS));
        BenchPlot plot = report.plot("work in time", "load, multiple of capacity", "of capacity");
        for (AdmissionResult result : all) {
            if (result.policy().equals("controlled")) {
                result.addTo(report);
            }
            String series = result.policy() + ", " + result.slots() + " slots, " + result.seed();
            plot.point(series, 2, result.workAtTwice());
            plot.point(series, 4, result.workAtFourTimes());
        }
        report.detail("runs", all);
        return report;
    }

    /**
     * Runs the simulation.
     *
     * @param arguments command-line options
     * @throws JsonProcessingException when the report cannot be encoded as JSON
     */
    public static void main(String[] arguments) throws JsonProcessingException {
        System.exit(run(arguments));
    }

    /** Returns the exit code. */
    static int run(String[] arguments) throws JsonProcessingException {
        ArgumentParser parser = createParser();
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            return wrong instanceof net.sourceforge.argparse4j.helper.HelpScreenException
                    ? 0
                    : EXIT_WRONG_OPTIONS;
        }
        List<AdmissionResult> all = measureAll(options.getLong("seed"), options.getInt("runs"));
        boolean met =
                all.stream()
                        .filter(result -> result.policy().equals("controlled"))
                        .allMatch(AdmissionResult::meetsBounds);
        print(all, met, options.getString("format"));
        return met ? 0 : EXIT_MISSED_BOUND;
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("AdmissionBench")
                        .build()
                        .description("Simulates admission control of one backend server.");
        parser.addArgument("--seed").type(Long.class).setDefault(20_261_204L).help("first seed");
        parser.addArgument("--runs")
                .type(Integer.class)
                .choices(net.sourceforge.argparse4j.impl.Arguments.range(1, MAXIMUM_RUNS))
                .setDefault(RUNS)
                .help("runs with successive seeds");
        parser.addArgument("--format").choices("text", "json").setDefault("text");
        return parser;
    }

    private static List<AdmissionResult> measureAll(long seed, int runs) {
        List<AdmissionResult> all = new ArrayList<>();
        for (int slots : SLOTS) {
            for (int run = 0; run < runs; run++) {
                all.add(AdmissionResult.measure(seed + run, slots, true));
                all.add(AdmissionResult.measure(seed + run, slots, false));
            }
        }
        return all;
    }

    private static void print(List<AdmissionResult> all, boolean met, String format)
            throws JsonProcessingException {
        if (format.equals("json")) {
            Map<String, Object> report = Map.of("boundsMet", met, "runs", all);
            System.out.println(new ObjectMapper().writeValueAsString(report));
            return;
        }
        all.forEach(result -> System.out.println(result.describe()));
        System.out.println(met ? "all bounds met" : "a bound was missed");
    }
}
