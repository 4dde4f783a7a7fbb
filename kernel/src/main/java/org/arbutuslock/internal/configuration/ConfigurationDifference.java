package org.arbutuslock.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Finds the operations that turn one configuration into another.
 *
 * <pre>{@code
 * List<ConfigurationOperation> operations = ConfigurationDifference.between(current, earlier);
 * }</pre>
 */
public final class ConfigurationDifference {
    private ConfigurationDifference() {}

    /**
     * Compares all entities of two configurations.
     *
     * @param from configuration to change
     * @param to configuration to reach
     * @return operations, empty when the entities are the same
     */
    public static List<ConfigurationOperation> between(Configuration from, Configuration to) {
        List<ConfigurationOperation> operations = new ArrayList<>();
        addServicesAndRoutes(operations, from, to);
        to.forEachTenant(
                tenant -> {
                    if (!from.tenant(tenant.name()).equals(Optional.of(tenant))) {
                        operations.add(new ConfigurationOperation.PutTenant(tenant));
                    }
                });
        from.forEachTenant(
                tenant -> {
                    if (to.tenant(tenant.name()).isEmpty()) {
                        operations.add(new ConfigurationOperation.DeleteTenant(tenant.name()));
                    }
                });
        return operations;
    }

    /**
     * Adds services before the routes that refer to them, and deletes services after the routes
     * that referred to them.
     */
    private static void addServicesAndRoutes(
            List<ConfigurationOperation> operations, Configuration from, Configuration to) {
        to.forEachService(
                service -> {
                    if (!from.service(service.name()).equals(Optional.of(service))) {
                        operations.add(new ConfigurationOperation.PutService(service));
                    }
                });
        from.forEachRoute(
                route -> {
                    if (to.route(route.name()).isEmpty()) {
                        operations.add(new ConfigurationOperation.DeleteRoute(route.name()));
                    }
                });
        to.forEachRoute(
                route -> {
                    if (!from.route(route.name()).equals(Optional.of(route))) {
                        operations.add(new ConfigurationOperation.PutRoute(route));
                    }
                });
        from.forEachService(
                service -> {
                    if (to.service(service.name()).isEmpty()) {
                        operations.add(new ConfigurationOperation.DeleteService(service.name()));
                    }
                });
    }
}
