package org.arbutuslock.testbed.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.testbed.backend.WorkTimes;
import org.testng.annotations.Test;

/**
 * Guards against a metric that docs/metrics.md does not list and a row of that page without a
 * metric, which arise when only one of the two is changed.
 */
public class MetricsPageTest {
    private static final String NODE = "calgary-a-1";
    private static final Path PAGE = Path.of("..", "docs", "metrics.md");
    private static final Pattern TYPE = Pattern.compile("# TYPE (\\S+) (\\S+)");
    private static final Pattern SAMPLE = Pattern.compile("([a-z0-9_]+)(?:\\{(.*)})? \\S+");
    private static final Pattern TAG = Pattern.compile("([a-z_]+)=\"[^\"]*\"");
    private static final Pattern ROW =
            Pattern.compile("\\| `([a-z0-9_]+)` \\| (\\w+) \\| ([^|]+) \\|([^|]*)\\| [^|]+ \\|");

    private final HttpClient mClient = HttpClient.newHttpClient();

    @Test
    public void should_list_every_metric_of_a_running_node_with_type_and_tags() throws Exception {
        try (InProcessFleet fleet = InProcessFleet.start(3)) {
            fleet.addNode(NODE, "west-prairie", "calgary-a");
            fleet.addBackend(NODE, "order-hub-1", "order-hub", 5, WorkTimes.of(2, 0, 1));
            fleet.change(configuration());
            fleet.awaitReady();
            assertEquals(get(fleet.settings(NODE).callers().address(), "/orders"), "200");
            InetSocketAddress metrics = fleet.settings(NODE).metrics().address();
            InProcessFleet.await(
                    "metrics of tenant team-7 and endpoint order-hub-1",
                    () -> {
                        String scrape = getUnchecked(metrics, "/metrics");
                        return scrape.contains("team-7") && scrape.contains("order-hub-1");
                    });
            assertSameMetrics(readPage(), readScrape(get(metrics, "/metrics")));
            String top = CommandRun.run(fleet, NODE, "top").expect(0).text();
            assertTrue(top.contains("order-hub") && top.contains("(others)"), top);
        }
    }

    private static void assertSameMetrics(Map<String, String> page, Map<String, String> scrape) {
        var missing = new TreeSet<>(scrape.entrySet().stream().map(Object::toString).toList());
        var surplus = new TreeSet<>(page.entrySet().stream().map(Object::toString).toList());
        missing.removeAll(page.entrySet().stream().map(Object::toString).toList());
        surplus.removeAll(scrape.entrySet().stream().map(Object::toString).toList());
        assertTrue(
                missing.isEmpty() && surplus.isEmpty(),
                "docs/metrics.md lacks " + missing + " and lists unknown metrics " + surplus);
    }

    /** Maps each metric of a scrape to its type and its sorted tags, without the tag "le". */
    private static Map<String, String> readScrape(String scrape) {
        Map<String, String> types = new TreeMap<>();
        Map<String, TreeSet<String>> tags = new TreeMap<>();
        for (String line : scrape.lines().toList()) {
            Matcher type = TYPE.matcher(line);
            if (type.matches()) {
                types.put(type.group(1), type.group(2));
            }
            Matcher sample = SAMPLE.matcher(line);
            if (sample.matches() && sample.group(2) != null) {
                String name = sample.group(1).replaceAll("_(bucket|count|sum)$", "");
                String metric = types.containsKey(sample.group(1)) ? sample.group(1) : name;
                TAG.matcher(sample.group(2))
                        .results()
                        .map(result -> result.group(1))
                        .filter(tag -> !tag.equals("le"))
                        .forEach(
                                tag ->
                                        tags.computeIfAbsent(metric, key -> new TreeSet<>())
                                                .add(tag));
            }
        }
        Map<String, String> described = new TreeMap<>();
        types.forEach(
                (name, type) ->
                        described.put(
                                name,
                                type
                                        + " "
                                        + String.join(
                                                ", ", tags.getOrDefault(name, new TreeSet<>()))));
        return described;
    }

    private static Map<String, String> readPage() throws Exception {
        Map<String, String> described = new TreeMap<>();
        for (String line : Files.readAllLines(PAGE)) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                List<String> tags = new ArrayList<>();
                Pattern.compile("`(\\w+)`")
                        .matcher(row.group(4))
                        .results()
                        .forEach(result -> tags.add(result.group(1)));
                described.put(
                        row.group(1), row.group(2) + " " + String.join(", ", new TreeSet<>(tags)));
            }
        }
        return described;
    }

    private String getUnchecked(InetSocketAddress address, String path) {
        try {
            return get(address, path);
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    /** Returns the body of the response for /metrics, and the status code for any other path. */
    private String get(InetSocketAddress address, String path) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                        .header("arbutuslock-tenant", "team-7")
                        .version(HttpClient.Version.HTTP_1_1)
                        .build();
        HttpResponse<String> response = mClient.send(request, HttpResponse.BodyHandlers.ofString());
        return path.equals("/metrics") ? response.body() : String.valueOf(response.statusCode());
    }

    private static List<ConfigurationOperation> configuration() {
        return List.of(
                new ConfigurationOperation.PutService(
                        new ServiceDefinition("order-hub", new Floor.Count(1), 1, 5, 20)),
                new ConfigurationOperation.PutRoute(
                        new RouteDefinition(
                                "orders",
                                "",
                                "",
                                "/orders",
                                true,
                                Map.of(),
                                "order-hub",
                                WorkClass.SHORT,
                                true,
                                5_000,
                                5)));
    }
}
