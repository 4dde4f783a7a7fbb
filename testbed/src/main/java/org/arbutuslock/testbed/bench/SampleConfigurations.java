package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationOperation;

/**
 * Builds configurations with the proportions of the design size: 12 routes per service; half of the
 * services have their own HTTP host name and half share one.
 */
final class SampleConfigurations {
    private static final int ROUTES_PER_SERVICE = 12;
    private static final int ENDPOINTS = 21;
    private static final int SLOTS = 5;
    private static final int RETRY_PERCENT = 10;
    private static final int FLOOR_PERCENT = 75;
    private static final int DEADLINE_MILLIS = 2000;
    private static final int PRIORITY = 5;
    private static final int OPERATIONS_PER_CHANGE = 5000;

    private SampleConfigurations() {}

    static Configuration build(int routes, int tenants) {
        List<ConfigurationOperation> operations = new ArrayList<>();
        for (int index = 0; index < Math.ceilDiv(routes, ROUTES_PER_SERVICE); index++) {
            operations.add(new ConfigurationOperation.PutService(service(index)));
        }
        for (int index = 0; index < routes; index++) {
            operations.add(new ConfigurationOperation.PutRoute(route(index)));
        }
        for (int index = 0; index < tenants; index++) {
            operations.add(new ConfigurationOperation.PutTenant(tenant(index, 1)));
        }
        return apply(operations);
    }

    private static Configuration apply(List<ConfigurationOperation> operations) {
        Configuration configuration = Configuration.EMPTY;
        for (int start = 0; start < operations.size(); start += OPERATIONS_PER_CHANGE) {
            int end = Math.min(operations.size(), start + OPERATIONS_PER_CHANGE);
            configuration =
                    configuration.apply(
                            change(configuration.revision(), operations.subList(start, end)));
        }
        return configuration;
    }

    static ConfigurationChange change(long base, List<ConfigurationOperation> operations) {
        return new ConfigurationChange(
                base + 1, new UUID(1, base + 1), "bench", 0, base, operations);
    }

    static RouteDefinition route(int index) {
        int service = index / ROUTES_PER_SERVICE;
        int position = index % ROUTES_PER_SERVICE;
        boolean shared = service % 2 == 1;
        String path = (shared ? "/service-" + service : "/v1") + "/resource-" + position / 2;
        return new RouteDefinition(
                "route-" + index,
                shared ? "api.west-prairie.example" : "service-" + service + ".example",
                position % 2 == 0 ? "" : "POST",
                path,
                true,
                Map.of(),
                "service-" + service,
                position == 0 ? WorkClass.LONG : WorkClass.SHORT,
                position % 2 == 0,
                DEADLINE_MILLIS,
                PRIORITY);
    }

    static TenantDefinition tenant(int index, int weight) {
        return new TenantDefinition("team-" + index, weight);
    }

    private static ServiceDefinition service(int index) {
        return new ServiceDefinition(
                "service-" + index,
                new Floor.Share(FLOOR_PERCENT),
                ENDPOINTS,
                SLOTS,
                RETRY_PERCENT);
    }
}
