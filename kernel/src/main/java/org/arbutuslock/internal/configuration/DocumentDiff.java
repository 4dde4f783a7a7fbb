package org.arbutuslock.internal.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;

/**
 * Computes the operations that turn a configuration into the one that a document describes.
 * Services are added before the routes that refer to them and deleted after the routes that
 * referred to them.
 *
 * <pre>{@code
 * List<ConfigurationOperation> operations = DocumentDiff.diff(holder.current(), document);
 * }</pre>
 */
public final class DocumentDiff {
    private DocumentDiff() {}

    /**
     * Compares a configuration with a document.
     *
     * @param current configuration in force
     * @param desired document that describes the whole desired configuration
     * @return operations in order, empty when nothing differs; they may exceed the limits of one
     *     change and then have to be submitted as several changes
     */
    public static List<ConfigurationOperation> diff(
            Configuration current, ConfigurationDocument desired) {
        List<ConfigurationOperation> operations = new ArrayList<>();
        for (ServiceDefinition service : desired.services()) {
            if (!current.service(service.name()).equals(Optional.of(service))) {
                operations.add(new ConfigurationOperation.PutService(service));
            }
        }
        addRouteOperations(current, desired, operations);
        addServiceDeletions(current, desired, operations);
        addTenantOperations(current, desired, operations);
        return operations;
    }

    private static void addRouteOperations(
            Configuration current,
            ConfigurationDocument desired,
            List<ConfigurationOperation> operations) {
        Set<String> names =
                desired.routes().stream().map(RouteDefinition::name).collect(Collectors.toSet());
        current.forEachRoute(
                route -> {
                    if (!names.contains(route.name())) {
                        operations.add(new ConfigurationOperation.DeleteRoute(route.name()));
                    }
                });
        for (RouteDefinition route : desired.routes()) {
            if (!current.route(route.name()).equals(Optional.of(route))) {
                operations.add(new ConfigurationOperation.PutRoute(route));
            }
        }
    }

    private static void addServiceDeletions(
            Configuration current,
            ConfigurationDocument desired,
            List<ConfigurationOperation> operations) {
        Set<String> names = new HashSet<>();
        desired.services().forEach(service -> names.add(service.name()));
        current.forEachService(
                service -> {
                    if (!names.contains(service.name())) {
                        operations.add(new ConfigurationOperation.DeleteService(service.name()));
                    }
                });
    }

    private static void addTenantOperations(
            Configuration current,
            ConfigurationDocument desired,
            List<ConfigurationOperation> operations) {
        Set<String> names = new HashSet<>();
        for (TenantDefinition tenant : desired.tenants()) {
            names.add(tenant.name());
            if (!current.tenant(tenant.name()).equals(Optional.of(tenant))) {
                operations.add(new ConfigurationOperation.PutTenant(tenant));
            }
        }
        current.forEachTenant(
                tenant -> {
                    if (!names.contains(tenant.name())) {
                        operations.add(new ConfigurationOperation.DeleteTenant(tenant.name()));
                    }
                });
    }
}
