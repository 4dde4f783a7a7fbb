package org.arbutuslock.internal.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.internal.routing.RouteOverlap;

/**
 * Validates changes and whole configurations and returns all errors, not only the first one. The
 * cost of validating a change is proportional to the size of the change, except that a change that
 * deletes services reads all routes once.
 *
 * <pre>{@code
 * List<ValidationError> errors = ConfigurationValidator.validate(current, operations);
 * }</pre>
 */
public final class ConfigurationValidator {
    private ConfigurationValidator() {}

    /**
     * Validates the operations of a change against the configuration that they change.
     *
     * @param current configuration before the change
     * @param operations operations of the change
     * @return all errors, empty when the change is valid
     */
    public static List<ValidationError> validate(
            Configuration current, List<ConfigurationOperation> operations) {
        List<ValidationError> errors = new ArrayList<>();
        EntityChecks checks = new EntityChecks(errors);
        checks.requireRange(
                "change",
                "operations",
                operations.size(),
                1,
                ConfigurationLimits.OPERATIONS_PER_CHANGE);
        operations.forEach(operation -> checkFields(checks, operation));
        checkTargets(checks, current, operations);
        if (!errors.isEmpty()) {
            // References are checked on the changed configuration, which needs valid entities.
            return errors;
        }
        Configuration.Entities after = current.entities();
        for (ConfigurationOperation operation : operations) {
            after = after.apply(operation);
        }
        checkReferences(checks, after, operations);
        checkCounts(checks, after);
        return errors;
    }

    /**
     * Validates a whole configuration.
     *
     * @param configuration configuration to check
     * @return all errors, empty when the configuration is valid
     */
    public static List<ValidationError> validateAll(Configuration configuration) {
        List<ValidationError> errors = new ArrayList<>();
        EntityChecks checks = new EntityChecks(errors);
        configuration.forEachService(checks::check);
        configuration.forEachTenant(checks::check);
        configuration.forEachRoute(
                route -> {
                    checks.check(route);
                    checkRouteReferences(checks, configuration.entities(), route);
                });
        checkCounts(checks, configuration.entities());
        return errors;
    }

    private static void checkFields(EntityChecks checks, ConfigurationOperation operation) {
        switch (operation) {
            case ConfigurationOperation.PutService(ServiceDefinition service) ->
                    checks.check(service);
            case ConfigurationOperation.PutRoute(RouteDefinition route) -> checks.check(route);
            case ConfigurationOperation.PutTenant(TenantDefinition tenant) -> checks.check(tenant);
            case ConfigurationOperation.DeleteService _,
                    ConfigurationOperation.DeleteRoute _,
                    ConfigurationOperation.DeleteTenant _ -> {}
        }
    }

    /** Checks that only one operation changes each entity and that deleted entities exist. */
    private static void checkTargets(
            EntityChecks checks, Configuration current, List<ConfigurationOperation> operations) {
        Set<String> seen = new HashSet<>();
        for (ConfigurationOperation operation : operations) {
            String entity = operation.entity();
            if (!seen.add(entity)) {
                checks.add(entity, "operations", "several operations", "one operation per entity");
            }
            if (isDeletionOfUnknown(current, operation)) {
                checks.add(entity, "name", "unknown", "the name of an existing entity");
            }
        }
    }

    private static boolean isDeletionOfUnknown(
            Configuration current, ConfigurationOperation operation) {
        return switch (operation) {
            case ConfigurationOperation.DeleteService(String name) ->
                    current.service(name).isEmpty();
            case ConfigurationOperation.DeleteRoute(String name) -> current.route(name).isEmpty();
            case ConfigurationOperation.DeleteTenant(String name) -> current.tenant(name).isEmpty();
            default -> false;
        };
    }

    private static void checkReferences(
            EntityChecks checks,
            Configuration.Entities after,
            List<ConfigurationOperation> operations) {
        Set<String> deletedServices = new HashSet<>();
        for (ConfigurationOperation operation : operations) {
            if (operation instanceof ConfigurationOperation.PutRoute(RouteDefinition route)) {
                checkRouteReferences(checks, after, route);
            } else if (operation instanceof ConfigurationOperation.DeleteService(String name)) {
                deletedServices.add(name);
            }
        }
        if (!deletedServices.isEmpty()) {
            checkDeletedServices(checks, after, operations, deletedServices);
        }
    }

    private static void checkDeletedServices(
            EntityChecks checks,
            Configuration.Entities after,
            List<ConfigurationOperation> operations,
            Set<String> deletedServices) {
        Set<String> alreadyChecked = new HashSet<>();
        operations.forEach(operation -> alreadyChecked.add(operation.entity()));
        for (RouteDefinition route : after.routes().values()) {
            String entity = "route " + route.name();
            if (!alreadyChecked.contains(entity)) {
                checkServices(checks, route, service -> !deletedServices.contains(service));
            }
        }
    }

    private static void checkRouteReferences(
            EntityChecks checks, Configuration.Entities after, RouteDefinition route) {
        checkServices(checks, route, after.services()::containsKey);
        List<RouteDefinition> others = after.routeTable().routesAtLocationOf(route);
        if (others.size() > ConfigurationLimits.ROUTES_PER_LOCATION) {
            checks.add(
                    "route " + route.name(),
                    "path",
                    others.size() + " routes with this host and path",
                    "at most " + ConfigurationLimits.ROUTES_PER_LOCATION);
        }
        for (RouteDefinition other : others) {
            if (!other.name().equals(route.name())) {
                checkOverlap(checks, route, other);
            }
        }
    }

    private static void checkOverlap(
            EntityChecks checks, RouteDefinition route, RouteDefinition other) {
        switch (RouteOverlap.between(route, other)) {
            case DUPLICATE ->
                    checks.add(
                            "route " + route.name(),
                            "path",
                            route.path(),
                            "another host, path, method or headers than route " + other.name());
            case AMBIGUOUS ->
                    checks.add(
                            "route " + route.name(),
                            "headers",
                            route.headers().toString(),
                            "a header with another value than in route "
                                    + other.name()
                                    + " or another number of headers");
            case NONE -> {}
        }
    }

    private static void checkServices(
            EntityChecks checks, RouteDefinition route, Predicate<String> exists) {
        String allowed = "the name of an existing service";
        String entity = "route " + route.name();
        if (!exists.test(route.service())) {
            checks.add(entity, "service", route.service(), allowed);
        }
        for (WeightedService part : route.policy().split()) {
            if (!exists.test(part.service())) {
                checks.add(entity, "split", part.service(), allowed);
            }
        }
    }

    private static void checkCounts(EntityChecks checks, Configuration.Entities after) {
        String entity = "configuration";
        checks.requireRange(
                entity, "services", after.services().size(), 0, ConfigurationLimits.SERVICES);
        checks.requireRange(entity, "routes", after.routes().size(), 0, ConfigurationLimits.ROUTES);
        checks.requireRange(
                entity, "tenants", after.tenants().count(), 0, ConfigurationLimits.TENANTS);
    }
}
