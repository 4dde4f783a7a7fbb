package org.arbutuslock.internal.configuration;

import io.vavr.collection.HashMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.Consumer;
import org.arbutuslock.api.CallerBounds;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.internal.routing.RouteTable;

/**
 * Immutable snapshot of the whole configuration at one revision, with its compiled route table.
 * Applying a change creates a new snapshot that shares all unchanged data with this one.
 *
 * <pre>{@code
 * Configuration next = Configuration.EMPTY.apply(change);
 * Optional<RouteDefinition> route = next.routeTable().match("GET", host, path, headers);
 * }</pre>
 */
public final class Configuration {
    /** The empty configuration, revision 0. */
    public static final Configuration EMPTY =
            new Configuration(
                    0,
                    new Entities(
                            HashMap.empty(), HashMap.empty(), TenantTable.EMPTY, RouteTable.EMPTY),
                    RecentChanges.startingAfter(0));

    /** All services, routes and tenants, with the table compiled from the routes. */
    record Entities(
            HashMap<String, ServiceDefinition> services,
            HashMap<String, RouteDefinition> routes,
            TenantTable tenants,
            RouteTable routeTable) {
        Entities withService(ServiceDefinition service) {
            return new Entities(services.put(service.name(), service), routes, tenants, routeTable);
        }

        Entities withoutService(String name) {
            return new Entities(services.remove(name), routes, tenants, routeTable);
        }

        Entities withRoute(RouteDefinition route) {
            RouteDefinition replaced = routes.getOrElse(route.name(), null);
            RouteTable others = replaced == null ? routeTable : routeTable.without(replaced);
            return new Entities(
                    services, routes.put(route.name(), route), tenants, others.with(route));
        }

        Entities withoutRoute(String name) {
            RouteDefinition removed = routes.getOrElse(name, null);
            return removed == null
                    ? this
                    : new Entities(
                            services, routes.remove(name), tenants, routeTable.without(removed));
        }

        Entities withTenants(TenantTable changed) {
            return new Entities(services, routes, changed, routeTable);
        }

        Entities apply(ConfigurationOperation operation) {
            return switch (operation) {
                case ConfigurationOperation.PutService(ServiceDefinition service) ->
                        withService(service);
                case ConfigurationOperation.DeleteService(String name) -> withoutService(name);
                case ConfigurationOperation.PutRoute(RouteDefinition route) -> withRoute(route);
                case ConfigurationOperation.DeleteRoute(String name) -> withoutRoute(name);
                case ConfigurationOperation.PutTenant(TenantDefinition tenant) ->
                        withTenants(tenants.with(tenant));
                case ConfigurationOperation.DeleteTenant(String name) ->
                        withTenants(tenants.without(name));
            };
        }
    }

    private final long mRevision;
    private final Entities mEntities;
    private final RecentChanges mRecentChanges;
    private final Optional<CallerBounds> mCallerBounds;

    Configuration(long revision, Entities entities, RecentChanges recentChanges) {
        this(revision, entities, recentChanges, Optional.empty());
    }

    private Configuration(
            long revision,
            Entities entities,
            RecentChanges recentChanges,
            Optional<CallerBounds> callerBounds) {
        mCallerBounds = callerBounds;
        mRevision = revision;
        mEntities = entities;
        mRecentChanges = recentChanges;
    }

    /**
     * Creates a whole configuration whose revisions are assigned by another system.
     *
     * @param revision revision of the configuration, at least 1
     * @param services all services
     * @param routes all routes, with different names
     * @return the configuration, without tenants
     */
    public static Configuration of(
            long revision, Iterable<ServiceDefinition> services, Iterable<RouteDefinition> routes) {
        Entities entities = EMPTY.mEntities;
        for (ServiceDefinition service : services) {
            entities = entities.withService(service);
        }
        for (RouteDefinition route : routes) {
            entities = entities.withRoute(route);
        }
        return new Configuration(revision, entities, RecentChanges.startingAfter(revision));
    }

    /**
     * Returns a copy with bounds on the requests of callers.
     *
     * @param bounds bounds on the sizes of requests and on timeouts
     * @return the copy
     */
    public Configuration withCallerBounds(CallerBounds bounds) {
        return new Configuration(mRevision, mEntities, mRecentChanges, Optional.of(bounds));
    }

    /**
     * Returns the bounds on the requests of callers.
     *
     * @return bounds, or empty when only the settings of the node apply
     */
    public Optional<CallerBounds> callerBounds() {
        return mCallerBounds;
    }

    /**
     * Returns the number of changes that led to this configuration.
     *
     * @return revision, 0 for the empty configuration
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return the service or empty
     */
    public Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(mEntities.services().getOrElse(name, null));
    }

    /**
     * Finds a route.
     *
     * @param name name of the route
     * @return the route or empty
     */
    public Optional<RouteDefinition> route(String name) {
        return Optional.ofNullable(mEntities.routes().getOrElse(name, null));
    }

    /**
     * Finds a tenant.
     *
     * @param name name of the tenant
     * @return the tenant or empty
     */
    public Optional<TenantDefinition> tenant(String name) {
        return mEntities.tenants().find(name);
    }

    /**
     * Visits all services in no particular order.
     *
     * @param consumer called for each service
     */
    public void forEachService(Consumer<ServiceDefinition> consumer) {
        mEntities.services().valuesIterator().forEachRemaining(consumer);
    }

    /**
     * Visits all routes in no particular order.
     *
     * @param consumer called for each route
     */
    public void forEachRoute(Consumer<RouteDefinition> consumer) {
        mEntities.routes().valuesIterator().forEachRemaining(consumer);
    }

    /**
     * Visits all tenants in an order that depends only on their names.
     *
     * @param consumer called for each tenant
     */
    public void forEachTenant(Consumer<TenantDefinition> consumer) {
        mEntities.tenants().forEach(consumer);
    }

    /**
     * Returns the number of services.
     *
     * @return number of services
     */
    public int serviceCount() {
        return mEntities.services().size();
    }

    /**
     * Returns the number of routes.
     *
     * @return number of routes
     */
    public int routeCount() {
        return mEntities.routes().size();
    }

    /**
     * Returns the number of tenants.
     *
     * @return number of tenants
     */
    public int tenantCount() {
        return mEntities.tenants().count();
    }

    /**
     * Returns the compiled routes.
     *
     * @return index of all routes
     */
    public RouteTable routeTable() {
        return mEntities.routeTable();
    }

    /**
     * Returns the revision that a recent change produced.
     *
     * @param changeId id of the change
     * @return its revision, or empty when the id is not among the recent changes
     */
    public OptionalLong revisionOf(UUID changeId) {
        return mRecentChanges.revisionOf(changeId);
    }

    /**
     * Applies the change that follows this revision.
     *
     * @param change change whose revision is the revision of this configuration plus one
     * @return the configuration after the change
     * @throws IllegalArgumentException when the change has another revision
     */
    public Configuration apply(ConfigurationChange change) {
        if (change.revision() != mRevision + 1) {
            throw new IllegalArgumentException(
                    "change to revision "
                            + change.revision()
                            + " cannot follow revision "
                            + mRevision
                            + "; apply the changes in between first");
        }
        Entities entities = mEntities;
        for (ConfigurationOperation operation : change.operations()) {
            entities = entities.apply(operation);
        }
        return new Configuration(
                change.revision(),
                entities,
                mRecentChanges.append(change.changeId()),
                mCallerBounds);
    }

    Entities entities() {
        return mEntities;
    }

    /**
     * Returns the id of a recent change.
     *
     * @param revision revision that the change produced
     * @return id of the change, or empty when the revision is not among the recent ones
     */
    public Optional<UUID> changeIdOf(long revision) {
        return Optional.ofNullable(mRecentChanges.idOf(revision));
    }

    RecentChanges recentChanges() {
        return mRecentChanges;
    }
}
