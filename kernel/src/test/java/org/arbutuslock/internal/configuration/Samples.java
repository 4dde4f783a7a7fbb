package org.arbutuslock.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.api.WorkClass;

/** Valid entities and changes for tests. */
final class Samples {
    private Samples() {}

    static ServiceDefinition service(String name) {
        return new ServiceDefinition(name, new Floor.Share(75), 8, 5, 10);
    }

    static RouteDefinition route(String name, String path, String service) {
        return new RouteDefinition(
                name,
                "shop.example",
                "GET",
                path,
                true,
                Map.of("x-version", "2"),
                service,
                WorkClass.SHORT,
                true,
                1000,
                5);
    }

    private static RouteDefinition splitRoute() {
        return new RouteDefinition(
                "split",
                "",
                "",
                "/split",
                true,
                Map.of(),
                "orders",
                WorkClass.LONG,
                true,
                1000,
                5,
                new RoutePolicy(
                        800,
                        2,
                        List.of(
                                new WeightedService("orders", 90),
                                new WeightedService("archive", 10)),
                        true));
    }

    static List<ConfigurationOperation> everyOperation() {
        return List.of(
                new ConfigurationOperation.PutService(service("orders")),
                new ConfigurationOperation.PutService(
                        new ServiceDefinition("archive", new Floor.Count(2), 14, 3, 0)),
                new ConfigurationOperation.PutRoute(route("orders", "/orders", "orders")),
                new ConfigurationOperation.PutTenant(new TenantDefinition("team-1", 3)),
                new ConfigurationOperation.DeleteService("old-service"),
                new ConfigurationOperation.DeleteRoute("old-route"),
                new ConfigurationOperation.DeleteTenant("old-tenant"));
    }

    /**
     * Adds a route that refers to two services, so that neither can be deleted without the route.
     */
    static List<ConfigurationOperation> everyOperationWithSplit() {
        List<ConfigurationOperation> operations = new ArrayList<>(everyOperation());
        operations.add(new ConfigurationOperation.PutRoute(splitRoute()));
        return operations;
    }

    static ConfigurationChange change(long revision, ConfigurationOperation... operations) {
        return new ConfigurationChange(
                revision,
                new UUID(7, revision),
                "ada",
                1_700_000_000_000L,
                revision - 1,
                List.of(operations));
    }

    static ConfigurationChange tenantChange(long revision) {
        return change(
                revision,
                new ConfigurationOperation.PutTenant(new TenantDefinition("team-" + revision, 1)));
    }
}
