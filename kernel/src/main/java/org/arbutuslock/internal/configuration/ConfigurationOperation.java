package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;

/** One operation of a change: adds, replaces or deletes one entity. */
public sealed interface ConfigurationOperation {
    /**
     * Adds or replaces a service.
     *
     * @param service the service
     */
    record PutService(ServiceDefinition service) implements ConfigurationOperation {}

    /**
     * Deletes a service that no route refers to.
     *
     * @param name name of the service
     */
    record DeleteService(String name) implements ConfigurationOperation {}

    /**
     * Adds or replaces a route.
     *
     * @param route the route
     */
    record PutRoute(RouteDefinition route) implements ConfigurationOperation {}

    /**
     * Deletes a route.
     *
     * @param name name of the route
     */
    record DeleteRoute(String name) implements ConfigurationOperation {}

    /**
     * Adds or replaces a tenant.
     *
     * @param tenant the tenant
     */
    record PutTenant(TenantDefinition tenant) implements ConfigurationOperation {}

    /**
     * Deletes a tenant.
     *
     * @param name name of the tenant
     */
    record DeleteTenant(String name) implements ConfigurationOperation {}

    /**
     * Returns the kind and the name of the entity that this operation changes.
     *
     * @return kind and name, for example {@code route orders}
     */
    default String entity() {
        return switch (this) {
            case PutService(ServiceDefinition service) -> "service " + service.name();
            case DeleteService(String name) -> "service " + name;
            case PutRoute(RouteDefinition route) -> "route " + route.name();
            case DeleteRoute(String name) -> "route " + name;
            case PutTenant(TenantDefinition tenant) -> "tenant " + tenant.name();
            case DeleteTenant(String name) -> "tenant " + name;
        };
    }
}
