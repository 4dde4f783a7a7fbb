package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.IntConsumer;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.configuration.ApplyResult;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChangeCodec;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.internal.configuration.MalformedConfigurationException;
import org.arbutuslock.internal.configuration.SnapshotAssembler;
import org.arbutuslock.internal.configuration.SnapshotCodec;
import org.arbutuslock.internal.configuration.SubmitResult;
import org.arbutuslock.internal.routing.HeaderAccessor;
import org.arbutuslock.internal.routing.RouteTable;

/**
 * Measures heap use, route matching, changes and snapshots of configurations up to the size that
 * the design supports. Exits 1 when a bound is missed.
 *
 * <pre>{@code
 * java -Xmx1500m -cp "testbed/target/classes:testbed/target/lib/*" \
 *     org.arbutuslock.testbed.bench.ConfigurationSizeBench
 * }</pre>
 */
public final class ConfigurationSizeBench implements Benchmark {
    private static final int[] ROUTES = {700, 7_000, 70_000};
    private static final int[] TENANTS = {9_100, 91_000, 910_000};
    private static final int[] MATCHED_ROUTES = {70, 7_000, 70_000};
    private static final long MAXIMUM_BYTES = 256L << 20;
    private static final double MAXIMUM_RATIO = 3;

    /** Enough distinct requests to exceed the processor caches at every number of routes. */
    private static final int REQUESTS = 1 << 16;

    private static final int CHANGES_PER_ROUND = 4000;
    private static final int SUBMISSIONS = 100;
    private static final int LARGEST_WEIGHT = 100;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long SUBMIT_NANOS = 1_000_000_000L;

    private SplittableRandom mRandom = new SplittableRandom(1);
    private BenchReport mReport = new BenchReport("configuration-size", 1);

    /** Sum of matched priorities; its use keeps the JIT compiler from removing the matching. */
    private long mPriorities;

    ConfigurationSizeBench() {}

    private record Request(String method, String host, String path) {}

    /**
     * Runs all measurements. Exits 1 when a bound is missed, 2 on invalid options.
     *
     * @param arguments options of {@code bin/bench}
     * @throws java.io.IOException when the report cannot be written
     */
    public static void main(String[] arguments) throws java.io.IOException {
        List<String> all = new ArrayList<>(List.of("configuration-size"));
        all.addAll(List.of(arguments));
        BenchMain.main(all.toArray(String[]::new));
    }

    @Override
    public String name() {
        return "configuration-size";
    }

    @Override
    public String description() {
        return "Memory, matching, changes and snapshots of configurations up to the design size";
    }

    @Override
    public BenchReport run(BenchOptions options) throws MalformedConfigurationException {
        mRandom = new SplittableRandom(options.seed());
        mReport = new BenchReport(name(), options.seed());
        measureMemory();
        measureMatching();
        measureChangesAndSnapshots();
        measureStoreCalls();
        return mReport;
    }

    private void measureMemory() {
        SampleConfigurations.build(ROUTES[0], TENANTS[0]);
        long[] routeBytes = new long[ROUTES.length];
        long[] tenantBytes = new long[TENANTS.length];
        for (int index = 0; index < ROUTES.length; index++) {
            int routes = ROUTES[index];
            int tenants = TENANTS[index];
            routeBytes[index] =
                    reportHeld("held memory of " + routes + " routes with services", routes, 0);
            tenantBytes[index] = reportHeld("held memory of " + tenants + " tenants", 0, tenants);
        }
        BenchPlot plot = mReport.plot("memory", "thousands of entities", "held bytes");
        for (int index = 0; index < ROUTES.length; index++) {
            plot.point("routes", ROUTES[index] / 1e3, routeBytes[index]);
            plot.point("tenants", TENANTS[index] / 1e3, tenantBytes[index]);
        }
        report("held memory per route", "bytes", slope(routeBytes, ROUTES));
        report("held memory per tenant", "bytes", slope(tenantBytes, TENANTS));
        String everything = "held memory of everything at design size";
        long total =
                measureHeld(everything, ROUTES[ROUTES.length - 1], TENANTS[TENANTS.length - 1]);
        requireAtMost(everything, "bytes", total, MAXIMUM_BYTES);
    }

    private long reportHeld(String name, int routes, int tenants) {
        long bytes = measureHeld(name, routes, tenants);
        report(name, "bytes", bytes);
        return bytes;
    }

    private static long measureHeld(String name, int routes, int tenants) {
        Measurement.Held<Configuration> held =
                Measurement.held(() -> SampleConfigurations.build(routes, tenants));
        if (held.value().routeCount() != routes || held.value().tenantCount() != tenants) {
            throw new IllegalStateException(name + ": the sample configuration is incomplete");
        }
        return held.bytes();
    }

    /** Returns bytes per entity between the two largest sizes, where fixed costs matter least. */
    private static double slope(long[] bytes, int[] counts) {
        int last = counts.length - 1;
        return (double) (bytes[last] - bytes[last - 1]) / (counts[last] - counts[last - 1]);
    }

    private void measureMatching() {
        List<IntConsumer> variants =
                Arrays.stream(MATCHED_ROUTES).mapToObj(this::matchingOf).toList();
        double[] nanos = Measurement.medianNanos(REQUESTS, variants);
        for (int index = 0; index < MATCHED_ROUTES.length; index++) {
            report("match at " + MATCHED_ROUTES[index] + " routes", "ns", nanos[index]);
        }
        double ratio = nanos[MATCHED_ROUTES.length - 1] / nanos[0];
        requireAtMost("match cost at 70,000 routes relative to 70", "times", ratio, MAXIMUM_RATIO);
        report("sum of priorities of matched routes", "", mPriorities);
    }

    private IntConsumer matchingOf(int routes) {
        RouteTable table = SampleConfigurations.build(routes, 0).routeTable();
        Request[] requests = new Request[REQUESTS];
        for (int index = 0; index < REQUESTS; index++) {
            RouteDefinition route = SampleConfigurations.route(mRandom.nextInt(routes));
            String method = route.method().isEmpty() ? "GET" : route.method();
            requests[index] = new Request(method, route.host(), route.path() + "/item-" + index);
        }
        return index -> {
            Request request = requests[index];
            RouteDefinition found =
                    table.match(
                                    request.method(),
                                    request.host(),
                                    request.path(),
                                    HeaderAccessor.NONE)
                            .orElseThrow();
            // Reads the route, as the code that forwards a request does.
            mPriorities += found.priority();
        };
    }

    private void measureChangesAndSnapshots() throws MalformedConfigurationException {
        List<IntConsumer> variants = new ArrayList<>();
        for (int index = 0; index < ROUTES.length; index++) {
            variants.add(changesOf(ROUTES[index], TENANTS[index]));
        }
        double[] nanos = Measurement.medianNanos(CHANGES_PER_ROUND, variants);
        for (int index = 0; index < ROUTES.length; index++) {
            report("apply one change at " + ROUTES[index] + " routes", "ns", nanos[index]);
            measureSnapshot(ROUTES[index], TENANTS[index]);
        }
        double ratio = nanos[ROUTES.length - 1] / nanos[0];
        requireAtMost(
                "change cost at 70,000 routes relative to 700", "times", ratio, MAXIMUM_RATIO);
    }

    /**
     * Returns a step that encodes, decodes and applies one change, of a route or a tenant in turn.
     */
    private IntConsumer changesOf(int routes, int tenants) {
        ConfigurationHolder holder = new ConfigurationHolder();
        holder.apply(SampleConfigurations.build(routes, tenants));
        return index -> applyOne(holder, index, routes, tenants);
    }

    private void applyOne(ConfigurationHolder holder, int index, int routes, int tenants) {
        ConfigurationOperation operation =
                index % 2 == 0
                        ? new ConfigurationOperation.PutRoute(
                                SampleConfigurations.route(mRandom.nextInt(routes)))
                        : new ConfigurationOperation.PutTenant(
                                SampleConfigurations.tenant(
                                        mRandom.nextInt(tenants),
                                        1 + mRandom.nextInt(LARGEST_WEIGHT)));
        ApplyResult result =
                holder.applyEncoded(
                        ConfigurationChangeCodec.encode(
                                SampleConfigurations.change(
                                        holder.current().revision(), List.of(operation))));
        if (!(result instanceof ApplyResult.Applied)) {
            throw new IllegalStateException("change " + index + " was not applied: " + result);
        }
    }

    private void measureSnapshot(int routes, int tenants) throws MalformedConfigurationException {
        List<byte[]> parts = SnapshotCodec.encode(SampleConfigurations.build(routes, tenants));
        String size = routes + " routes and " + tenants + " tenants";
        report("snapshot of " + size, "parts", parts.size());
        report(
                "encoded snapshot of " + size,
                "bytes",
                parts.stream().mapToLong(part -> part.length).sum());
        double best = Double.MAX_VALUE;
        for (int round = 0; round < 5; round++) {
            long start = System.nanoTime();
            SnapshotAssembler assembler = new SnapshotAssembler();
            for (byte[] part : parts) {
                assembler.add(part);
            }
            Configuration loaded = assembler.complete().orElseThrow();
            best = Math.min(best, (System.nanoTime() - start) / NANOS_PER_MILLI);
            if (loaded.tenantCount() != tenants) {
                throw new IllegalStateException("the loaded snapshot is incomplete");
            }
        }
        report("load a snapshot of " + size + " (best of 5)", "ms", best);
    }

    private void measureStoreCalls() {
        CountingStore store = new CountingStore();
        ConfigurationHolder holder = new ConfigurationHolder();
        Clock clock = Clock.system();
        ConfigurationLog log =
                new ConfigurationLog(store, holder, clock, (delay, task) -> {}, mRandom);
        for (int index = 0; index < SUBMISSIONS; index++) {
            List<ConfigurationOperation> operations =
                    List.of(
                            new ConfigurationOperation.PutTenant(
                                    SampleConfigurations.tenant(index, 1)));
            SubmitResult result =
                    log.submit(
                                    new UUID(2, index),
                                    "bench",
                                    index,
                                    operations,
                                    clock.nanoTime() + SUBMIT_NANOS)
                            .join();
            if (!(result instanceof SubmitResult.Accepted)) {
                throw new IllegalStateException(
                        "submission " + index + " was not accepted: " + result);
            }
        }
        report("store calls per change", "calls", (double) store.calls() / SUBMISSIONS);
    }

    private void report(String name, String unit, double value) {
        mReport.figure(name, value, unit);
        mReport.progress(String.format(Locale.ROOT, "%s: %.2f %s", name, value, unit));
    }

    private void requireAtMost(String name, String unit, double value, double maximum) {
        mReport.atMost(name, value, maximum, unit);
    }
}
