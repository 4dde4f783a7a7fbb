package org.arbutuslock.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.testing.Seeds;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that are routed to the wrong service because precedence or the index is
 * wrong, and against retries of requests that are not idempotent.
 */
public class RouteTableTest {
    private static final RouteTable TABLE =
            RouteTable.EMPTY
                    .with(route("any", "", "", "/", true, Map.of()))
                    .with(route("shop", "shop.example", "", "/", true, Map.of()))
                    .with(route("orders", "shop.example", "", "/orders", true, Map.of()))
                    .with(route("order-posts", "shop.example", "POST", "/orders", true, Map.of()))
                    .with(route("exact", "shop.example", "", "/orders/new", false, Map.of()))
                    .with(route("deep", "shop.example", "", "/orders/new", true, Map.of()))
                    .with(route("beta", "shop.example", "", "/orders", true, Map.of("x", "1")));

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"GET", "other.example", "/orders", Map.of(), "any"},
            {"GET", "Shop.Example:8080", "/", Map.of(), "shop"},
            {"GET", "shop.example", "/ordersX", Map.of(), "shop"},
            {"GET", "shop.example", "/orders", Map.of(), "orders"},
            {"GET", "shop.example", "/orders/?x=/new", Map.of(), "orders"},
            {"POST", "shop.example", "/orders/7", Map.of(), "order-posts"},
            {"POST", "shop.example", "/orders/7", Map.of("x", "1"), "beta"},
            {"GET", "shop.example", "/orders/new", Map.of("x", "1"), "exact"},
            {"GET", "shop.example", "/orders/new/7", Map.of("x", "1"), "deep"},
            {"GET", "shop.example", "/orders//7", Map.of(), "orders"},
            {"GET", "shop.example", "/orders/" + "a/".repeat(5000), Map.of(), "orders"},
            {"GET", "shop.example", "/orders/" + "a".repeat(5000), Map.of(), "orders"},
            {"GET", "shop.example", "/" + "a".repeat(5000), Map.of(), "shop"},
            {"GET", "shop.example/orders", "/new", Map.of(), "any"},
            {"OPTIONS", "shop.example", "*", Map.of(), "shop"},
        };
    }

    @Test(dataProvider = "requests")
    public void should_prefer_the_most_specific_route(
            String method, String host, String path, Map<String, String> headers, String name) {
        assertEquals(TABLE.match(method, host, path, headers::get).orElseThrow().name(), name);
    }

    @Test
    public void should_not_call_a_request_idempotent_when_its_method_is_unknown() {
        RouteDefinition route = TABLE.match("GET", "", "/", HeaderAccessor.NONE).orElseThrow();
        assertTrue(RequestMethods.isIdempotent(route, "POST"));
        assertFalse(RequestMethods.isIdempotent(route, "get"));
        assertFalse(RequestMethods.isIdempotent(route, "BREW"));
    }

    @Test
    public void should_agree_with_a_linear_search_after_random_changes() {
        Seeds.run(50, RouteTableTest::checkRandomChanges);
    }

    private static void checkRandomChanges(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, RouteDefinition> routes = new HashMap<>();
        RouteTable table = RouteTable.EMPTY;
        for (int step = 0; step < 200; step++) {
            RouteDefinition route = randomRoute(random);
            RouteDefinition replaced = routes.remove(route.name());
            table = replaced == null ? table : table.without(replaced);
            if (random.nextInt(3) > 0) {
                routes.put(route.name(), route);
                table = table.with(route);
            }
            Map<String, String> headers = randomHeaders(random);
            String method = random.nextBoolean() ? "GET" : "POST";
            String host = random.nextBoolean() ? "h1" : "h2";
            String path = randomPath(random);
            assertEquals(
                    table.match(method, host, path, headers::get),
                    searchLinearly(routes.values().stream().toList(), method, host, path, headers));
        }
    }

    private static Optional<RouteDefinition> searchLinearly(
            List<RouteDefinition> routes,
            String method,
            String host,
            String path,
            Map<String, String> headers) {
        return routes.stream()
                .filter(route -> route.host().isEmpty() || route.host().equals(host))
                .filter(route -> route.method().isEmpty() || route.method().equals(method))
                .filter(route -> headers.entrySet().containsAll(route.headers().entrySet()))
                .filter(route -> pathMatches(route, path))
                .min(
                        Comparator.comparing((RouteDefinition route) -> route.host().isEmpty())
                                .thenComparing(RouteDefinition::prefix)
                                .thenComparing(route -> -route.path().length())
                                .thenComparing(route -> -route.headers().size())
                                .thenComparing(route -> route.method().isEmpty())
                                .thenComparing(RouteDefinition::name));
    }

    private static boolean pathMatches(RouteDefinition route, String path) {
        if (!route.prefix() || path.equals(route.path())) {
            return path.equals(route.path());
        }
        return path.startsWith(route.path().equals("/") ? "/" : route.path() + "/");
    }

    private static RouteDefinition randomRoute(SplittableRandom random) {
        String path = randomPath(random);
        boolean prefix = random.nextBoolean() && (path.length() == 1 || !path.endsWith("/"));
        String method = random.nextBoolean() ? "" : "GET";
        String host = random.nextBoolean() ? "" : "h1";
        String name = "r" + random.nextInt(60);
        return route(name, host, method, path, prefix, randomHeaders(random));
    }

    private static Map<String, String> randomHeaders(SplittableRandom random) {
        Map<String, String> headers = new HashMap<>();
        for (String name : List.of("x", "y")) {
            if (random.nextInt(3) == 0) {
                headers.put(name, Integer.toString(random.nextInt(2)));
            }
        }
        return headers;
    }

    private static String randomPath(SplittableRandom random) {
        List<String> segments = new ArrayList<>(List.of(""));
        for (int count = random.nextInt(1, 4); count > 0; count--) {
            segments.add(count > 1 || random.nextInt(4) > 0 ? "a" + random.nextInt(2) : "");
        }
        return String.join("/", segments);
    }

    private static RouteDefinition route(
            String name,
            String host,
            String method,
            String path,
            boolean prefix,
            Map<String, String> headers) {
        return new RouteDefinition(
                name, host, method, path, prefix, headers, "s", WorkClass.SHORT, true, 1000, 5);
    }
}
