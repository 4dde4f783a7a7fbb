package org.arbutuslock.internal.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.api.WorkClass;
import org.testng.annotations.Test;

/**
 * Guards against accepting an invalid change, which could send requests to a wrong service or leave
 * the ejection of endpoints without a valid limit.
 */
public class ConfigurationValidatorTest {
    private static final Configuration CURRENT =
            Configuration.EMPTY.apply(
                    Samples.change(
                            1,
                            new ConfigurationOperation.PutService(Samples.service("orders")),
                            new ConfigurationOperation.PutRoute(
                                    Samples.route("orders", "/orders", "orders"))));

    @Test
    public void should_report_all_field_errors_at_once() {
        List<ConfigurationOperation> operations =
                List.of(
                        new ConfigurationOperation.PutService(
                                new ServiceDefinition("a b", new Floor.Count(9), 8, 0, 101)),
                        new ConfigurationOperation.PutRoute(
                                new RouteDefinition(
                                        "r",
                                        "Shop",
                                        "BREW",
                                        "x",
                                        true,
                                        Map.of("X", "\n"),
                                        "orders",
                                        WorkClass.LONG,
                                        true,
                                        0,
                                        10)),
                        new ConfigurationOperation.PutTenant(new TenantDefinition("t", 101)),
                        new ConfigurationOperation.DeleteTenant("missing"));
        assertEquals(
                fields(ConfigurationValidator.validate(CURRENT, operations)),
                List.of(
                        "service a b.name",
                        "service a b.slotsPerEndpoint",
                        "service a b.retryPercent",
                        "service a b.floor",
                        "route r.host",
                        "route r.path",
                        "route r.headers",
                        "route r.headers.X",
                        "route r.deadlineMillis",
                        "route r.priority",
                        "route r.idempotent",
                        "tenant t.weight",
                        "tenant missing.name"));
    }

    @Test
    public void should_report_dangling_references_duplicates_and_ambiguous_matches() {
        assertErrors("route r.service", putRoute("r", "/r", "missing", Map.of()));
        assertErrors("route orders.service", new ConfigurationOperation.DeleteService("orders"));
        assertErrors("route r.path", putRoute("r", "/orders", "orders", Map.of("x-version", "2")));
        assertErrors("route r.headers", putRoute("r", "/orders", "orders", Map.of("x-beta", "1")));
    }

    @Test
    public void should_accept_routes_that_precedence_tells_apart() {
        List<ConfigurationOperation> operations =
                List.of(
                        putRoute("a", "/orders", "orders", Map.of()),
                        putRoute("b", "/orders", "orders", Map.of("x-version", "3")),
                        putRoute("c", "/orders/7", "orders", Map.of("x-version", "2")));
        assertEquals(ConfigurationValidator.validate(CURRENT, operations), List.of());
        Configuration after =
                CURRENT.apply(Samples.change(2, operations.toArray(ConfigurationOperation[]::new)));
        assertEquals(ConfigurationValidator.validateAll(after), List.of());
    }

    @Test
    public void should_accept_a_service_deleted_together_with_its_routes() {
        assertTrue(
                ConfigurationValidator.validate(
                                CURRENT,
                                List.of(
                                        new ConfigurationOperation.DeleteService("orders"),
                                        new ConfigurationOperation.DeleteRoute("orders")))
                        .isEmpty());
    }

    @Test
    public void should_report_wrong_policies() {
        assertErrors("route r.objectiveMillis", putRoute(new RoutePolicy(0, 4, List.of(), false)));
        assertErrors("route r.maximumAttempts", putRoute(new RoutePolicy(9, 17, List.of(), false)));
        assertErrors("route r.split", putRoute(split("missing", 1)));
        assertErrors("route r.split", putRoute(split("orders", 0)));
        assertErrors("route r.split.orders", putRoute(split("orders", 10_001)));
        assertEquals(
                ConfigurationValidator.validate(
                        CURRENT, List.of(putRoute(new RoutePolicy(800, 2, List.of(), true)))),
                List.of());
    }

    private static RoutePolicy split(String service, int weight) {
        return new RoutePolicy(800, 2, List.of(new WeightedService(service, weight)), false);
    }

    private static ConfigurationOperation putRoute(RoutePolicy policy) {
        return new ConfigurationOperation.PutRoute(
                new RouteDefinition(
                        "r",
                        "",
                        "GET",
                        "/r",
                        true,
                        Map.of(),
                        "orders",
                        WorkClass.SHORT,
                        true,
                        10,
                        0,
                        policy));
    }

    private static void assertErrors(String expected, ConfigurationOperation operation) {
        assertEquals(
                fields(ConfigurationValidator.validate(CURRENT, List.of(operation))),
                List.of(expected));
    }

    private static ConfigurationOperation putRoute(
            String name, String path, String service, Map<String, String> headers) {
        return new ConfigurationOperation.PutRoute(
                new RouteDefinition(
                        name,
                        "shop.example",
                        "GET",
                        path,
                        true,
                        headers,
                        service,
                        WorkClass.SHORT,
                        false,
                        10,
                        0));
    }

    private static List<String> fields(List<ValidationError> errors) {
        return errors.stream().map(error -> error.entity() + "." + error.field()).toList();
    }
}
