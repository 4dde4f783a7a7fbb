package org.arbutuslock.testbed.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.arbutuslock.api.PluginException;

/**
 * Measures how long a configuration change takes until all nodes of a local fleet have applied it,
 * and how often the fleet calls the store. Exits 1 when a bound is missed, 2 on invalid options.
 *
 * <pre>{@code
 * java -Xmx2g -cp "testbed/target/classes:testbed/target/lib/*" \
 *     org.arbutuslock.testbed.bench.SpreadBench --seed 7 --seconds 30 --format json
 * }</pre>
 */
public final class SpreadBench {
    /** Availability zones of the design size. The candidates of each zone call the store. */
    static final int DESIGN_ZONES = 20;

    /** The store takes several hundred writes/s; 300 leaves room for changes and other clients. */
    private static final double WRITES_PER_SECOND = 300;

    private static final double READS_PER_SECOND = 2_000;
    private static final double SLOW_BOUND_MILLIS = 1_000;
    private static final double FAST_BOUND_MILLIS = 4_000;
    private static final int FAST_CHANGES_PER_SECOND = 10;
    private static final double LOSS = 0.2;

    /**
     * Each zone has 3 watchers and 6 candidates, and candidates can be other nodes after a rank
     * change.
     */
    private static final int MAXIMUM_STORE_CLIENTS = 9 * SpreadBenchFleet.ZONES;

    private static final int MAXIMUM_WATCHERS = 3 * SpreadBenchFleet.ZONES;
    private static final int SETTLE_SECONDS = 15;
    private static final int STOP_PERIOD_SECONDS = 3;
    private static final int EXIT_MISSED_BOUND = 1;
    private static final int EXIT_WRONG_OPTIONS = 2;

    private final SpreadBenchFleet mFleet;
    private final int mNodes;
    private final int mSeconds;
    private final Map<String, Map<String, Object>> mReport = new LinkedHashMap<>();
    private boolean mBoundsMet = true;

    private SpreadBench(SpreadBenchFleet fleet, int nodes, int seconds) {
        mFleet = fleet;
        mNodes = nodes;
        mSeconds = seconds;
    }

    /**
     * Runs all measurements.
     *
     * @param arguments command-line options
     * @throws Exception when the fleet cannot start
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    /** Returns the exit code. */
    static int run(String[] arguments) throws IOException, PluginException {
        ArgumentParser parser = createParser();
        Namespace options;
        try {
            options = parser.parseArgs(arguments);
        } catch (ArgumentParserException wrong) {
            parser.handleError(wrong);
            return wrong instanceof HelpScreenException ? 0 : EXIT_WRONG_OPTIONS;
        }
        System.err.println("seed " + options.getLong("seed"));
        int nodes = options.getInt("nodes");
        try (SpreadBenchFleet fleet = new SpreadBenchFleet(nodes, options.getLong("seed"))) {
            SpreadBench bench = new SpreadBench(fleet, nodes, options.getInt("seconds"));
            bench.measureAll(options.getInt("outage"));
            bench.print(options.getString("format"));
            return bench.mBoundsMet ? 0 : EXIT_MISSED_BOUND;
        }
    }

    private static ArgumentParser createParser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("SpreadBench")
                        .build()
                        .description("Measures the spread of configuration changes.");
        parser.addArgument("--seed").type(Long.class).setDefault(20_261_204L);
        parser.addArgument("--nodes")
                .type(Integer.class)
                .choices(Arguments.range(SpreadBenchFleet.ZONES, 60))
                .setDefault(50);
        parser.addArgument("--seconds")
                .type(Integer.class)
                .choices(Arguments.range(2, 600))
                .setDefault(30)
                .help("length of each phase with changes");
        parser.addArgument("--outage")
                .type(Integer.class)
                .choices(Arguments.range(1, 600))
                .setDefault(35)
                .help("seconds without the store");
        parser.addArgument("--format").choices("text", "json").setDefault("text");
        return parser;
    }

    private void measureAll(int outageSeconds) throws PluginException {
        System.err.println("starting " + mNodes + " nodes");
        mFleet.startAll();
        pause(SETTLE_SECONDS);
        require("all nodes know each other", mFleet.isComplete());
        reportCalls("store calls at the start", mFleet.rates());
        System.err.println("watchers: " + mFleet.watchers());
        StoreRates steady = mFleet.countCalls();
        List<Long> before = storeCallsByNode();
        pause(mSeconds);
        reportCalls("store calls in steady state", steady);
        reportNodesWithoutCalls(before);
        measureChanges("");
        mFleet.setLoss(LOSS);
        measureChanges(", 20% of messages lost");
        mFleet.setLoss(0);
        measureWhileStopping();
        System.err.println("store is down for " + outageSeconds + " s");
        mFleet.setStoreDown(true);
        pause(outageSeconds);
        mFleet.setStoreDown(false);
        StoreRates after = mFleet.countCalls();
        pause(SETTLE_SECONDS);
        reportCalls("store calls after an outage", after);
        long watchers = mFleet.watchers();
        mReport.put("watchers after an outage", Map.of("count", watchers));
        require(
                "watchers after an outage",
                watchers >= SpreadBenchFleet.ZONES && watchers <= MAXIMUM_WATCHERS);
    }

    private List<Long> storeCallsByNode() {
        return mFleet.running().stream().map(SpreadBenchNode::storeCalls).toList();
    }

    /** Checks that nodes which are neither watchers nor candidates do not call the store. */
    private void reportNodesWithoutCalls(List<Long> before) {
        List<Long> after = storeCallsByNode();
        long silent =
                IntStream.range(0, after.size())
                        .filter(index -> after.get(index).equals(before.get(index)))
                        .count();
        mReport.put("nodes without store calls in steady state", Map.of("count", silent));
        require("nodes without store calls", silent >= mNodes - MAXIMUM_STORE_CLIENTS);
    }

    private void measureChanges(String condition) {
        measureChanges("1 change/s" + condition, 1, SLOW_BOUND_MILLIS);
        measureChanges("10 changes/s" + condition, FAST_CHANGES_PER_SECOND, FAST_BOUND_MILLIS);
    }

    private void measureChanges(String name, int rate, double boundMillis) {
        System.err.println("measuring " + name);
        SpreadLatency latency = new SpreadLatency(mFleet);
        latency.submit(mSeconds, rate);
        Map<String, Object> figures = latency.figures(mSeconds * rate, boundMillis);
        mReport.put(name, figures);
        require(name, (Boolean) figures.get("met"));
    }

    private void measureWhileStopping() {
        ScheduledExecutorService stopping = Executors.newSingleThreadScheduledExecutor();
        stopping.scheduleAtFixedRate(
                mFleet::stopWatcher, STOP_PERIOD_SECONDS, STOP_PERIOD_SECONDS, TimeUnit.SECONDS);
        measureChanges(", watchers stopped one after another");
        stopping.shutdownNow();
        System.err.println("stopped watchers: " + mFleet.stoppedWatchers());
        mReport.put("stopped watchers", Map.of("count", mFleet.stoppedWatchers()));
        pause(SETTLE_SECONDS);
    }

    private void reportCalls(String name, StoreRates rates) {
        Map<String, Object> figures = rates.figures(mNodes, SpreadBenchFleet.ZONES);
        boolean met =
                (Double) figures.get("peakReadsAtDesignSize") <= READS_PER_SECOND
                        && (Double) figures.get("peakWritesAtDesignSize") <= WRITES_PER_SECOND;
        figures.put("met", met);
        mReport.put(name, figures);
        require(name, met);
    }

    private void require(String name, boolean met) {
        if (!met) {
            System.err.println("missed: " + name);
            mBoundsMet = false;
        }
    }

    private static void pause(int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }

    private void print(String format) throws JsonProcessingException {
        if (format.equals("json")) {
            System.out.println(
                    new ObjectMapper()
                            .writeValueAsString(
                                    Map.of("boundsMet", mBoundsMet, "phases", mReport)));
            return;
        }
        mReport.forEach((name, figures) -> System.out.println(name + ": " + figures));
        System.out.println(
                "design size: calls come from at most 9 nodes of each zone, so that "
                        + SpreadBenchFleet.ZONES
                        + " zones here times "
                        + DESIGN_ZONES / SpreadBenchFleet.ZONES
                        + " are the "
                        + DESIGN_ZONES
                        + " zones of 8,500 nodes; allowed are "
                        + WRITES_PER_SECOND
                        + " writes/s and "
                        + READS_PER_SECOND
                        + " reads/s");
        System.out.println(mBoundsMet ? "all bounds met" : "a bound was missed");
    }
}
