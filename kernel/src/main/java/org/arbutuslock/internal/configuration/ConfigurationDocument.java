package org.arbutuslock.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;

/**
 * A whole configuration as an operator writes it, without a revision. {@link DocumentParser} parses
 * it from JSON with comments and {@link DocumentWriter} writes it.
 *
 * <pre>{@code
 * {
 *   "services": [{"name": "orders", "floor": "75%", "expectedEndpoints": 14,
 *                 "slotsPerEndpoint": 3, "retryPercent": 10}],
 *   "routes": [{"name": "orders", "path": "/orders", "prefix": true, "service": "orders",
 *               "deadlineMillis": 2000}], // idempotent is false by default
 *   "tenants": [{"name": "team-7", "weight": 2}]
 * }
 * }</pre>
 *
 * @param services all services
 * @param routes all routes
 * @param tenants all tenants
 */
public record ConfigurationDocument(
        List<ServiceDefinition> services,
        List<RouteDefinition> routes,
        List<TenantDefinition> tenants) {
    /** Copies the lists, so that the document is immutable. */
    public ConfigurationDocument {
        services = List.copyOf(services);
        routes = List.copyOf(routes);
        tenants = List.copyOf(tenants);
    }

    /**
     * Collects the entities of a configuration.
     *
     * @param configuration configuration to describe
     * @return its entities in no particular order
     */
    public static ConfigurationDocument of(Configuration configuration) {
        List<ServiceDefinition> services = new ArrayList<>();
        List<RouteDefinition> routes = new ArrayList<>();
        List<TenantDefinition> tenants = new ArrayList<>();
        configuration.forEachService(services::add);
        configuration.forEachRoute(routes::add);
        configuration.forEachTenant(tenants::add);
        return new ConfigurationDocument(services, routes, tenants);
    }
}
