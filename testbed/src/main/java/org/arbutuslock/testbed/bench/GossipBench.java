package org.arbutuslock.testbed.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.internal.messages.MessageFormatException;

/**
 * Measures what the membership protocol costs each node and extrapolates it to the fleet size that
 * the design supports. Exits 1 when a figure exceeds its bound, 2 on invalid options.
 */
public final class GossipBench implements Benchmark {
    private static final int EXIT_BOUND_EXCEEDED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int[] NODES = {100, 300, 1_000};
    private static final int[] ENDPOINTS = {100, 1_000, 10_000, 120_000};
    private static final double CHANGES_PER_SECOND = 0.5;
    private static final double RESTARTS_PER_SECOND = 0.2;
    private static final int WARM_UP_ENDPOINTS = 1_000;
    private static final int SECONDS = 60;

    GossipBench() {}

    @Override
    public String name() {
        return "gossip";
    }

    @Override
    public String description() {
        return "Traffic, processor time and memory of membership, extrapolated to the design size";
    }

    @Override
    public BenchReport run(BenchOptions options) throws MessageFormatException {
        BenchReport report = new BenchReport(name(), options.seed());
        GossipReport measured = measure(options.seed(), options.choose(10, SECONDS));
        measured.checks()
                .forEach(check -> report.atMost(check.name(), check.value(), check.bound(), ""));
        BenchPlot traffic = report.plot("traffic", "nodes", "bytes per second of a node");
        measured.steady()
                .forEach(each -> traffic.point("steady", each.nodes(), each.bytesPerSecond()));
        measured.changing()
                .forEach(each -> traffic.point("changes", each.nodes(), each.bytesPerSecond()));
        BenchPlot memory = report.plot("memory", "endpoints", "heap bytes");
        measured.memory().forEach(each -> memory.point("heap", each.endpoints(), each.heapBytes()));
        report.detail("measured", measured);
        return report;
    }

    /**
     * Measures and prints the figures.
     *
     * @param arguments options; {@code --help} lists them
     * @throws MessageFormatException when a node cannot decode a message of another node, which is
     *     a defect
     * @throws JsonProcessingException when the report cannot be encoded, which is a defect
     */
    public static void main(String[] arguments)
            throws MessageFormatException, JsonProcessingException {
        ArgumentParser parser = createParser();
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            System.exit(EXIT_USAGE);
            return;
        }
        GossipReport report = measure(options.getLong("seed"), options.getInt("seconds"));
        System.out.print(
                options.getString("format").equals("json") ? toJson(report) : report.toText());
        System.exit(report.isWithinBounds() ? 0 : EXIT_BOUND_EXCEEDED);
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("arbutuslock-gossip-bench")
                        .build()
                        .description("Measures the cost of membership for each node.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .choices(Arguments.range(1, 3_600))
                .setDefault(SECONDS)
                .help("simulated time of each measurement of traffic");
        parser.addArgument("--format").choices("text", "json").setDefault("text").help("output");
        return parser;
    }

    private static GossipReport measure(long seed, int seconds) throws MessageFormatException {
        MemoryMeasurement memory = new MemoryMeasurement(seed);
        memory.measure(WARM_UP_ENDPOINTS);
        List<MemoryMeasurement.Result> byEndpoints = new ArrayList<>();
        for (int endpoints : ENDPOINTS) {
            byEndpoints.add(memory.measure(endpoints));
        }
        TrafficMeasurement traffic = new TrafficMeasurement(seed, Duration.ofSeconds(seconds));
        traffic.measure(NODES[0], CHANGES_PER_SECOND, RESTARTS_PER_SECOND);
        List<TrafficMeasurement.Result> steady = new ArrayList<>();
        List<TrafficMeasurement.Result> changing = new ArrayList<>();
        for (int nodes : NODES) {
            steady.add(traffic.measure(nodes, 0, 0));
            changing.add(traffic.measure(nodes, CHANGES_PER_SECOND, RESTARTS_PER_SECOND));
        }
        return new GossipReport(seed, seconds, steady, changing, byEndpoints);
    }

    private static String toJson(GossipReport report) throws JsonProcessingException {
        return new ObjectMapper()
                        .enable(SerializationFeature.INDENT_OUTPUT)
                        .writeValueAsString(
                                Map.of(
                                        "report", report,
                                        "checks", report.checks(),
                                        "withinBounds", report.isWithinBounds()))
                + "\n";
    }
}
