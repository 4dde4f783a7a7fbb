package org.arbutuslock.daemon.internal.operators;

import org.arbutuslock.api.Floor;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.api.WeightedService;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.Route;
import org.arbutuslock.v1.Service;
import org.arbutuslock.v1.Tenant;
import org.arbutuslock.v1.WorkClass;

/**
 * Converts between the messages of operators and the configuration's records. The messages have
 * uint32 numbers; those above {@code Integer.MAX_VALUE} become negative, which the validation of
 * the configuration refuses.
 *
 * <pre>{@code
 * ServiceDefinition definition = EntityConverter.toDefinition(entity.getService());
 * }</pre>
 */
public final class EntityConverter {
    private EntityConverter() {}

    /**
     * Converts a service.
     *
     * @param service a service with a floor
     * @return the same service as a record
     */
    public static ServiceDefinition toDefinition(Service service) {
        Floor floor =
                switch (service.getFloorCase()) {
                    case FLOOR_ENDPOINTS -> new Floor.Count(service.getFloorEndpoints());
                    case FLOOR_PERCENT -> new Floor.Share(service.getFloorPercent());
                    case FLOOR_NOT_SET ->
                            throw new IllegalArgumentException(
                                    "service "
                                            + service.getName()
                                            + " has no floor; set floor_endpoints or"
                                            + " floor_percent");
                };
        return new ServiceDefinition(
                service.getName(),
                floor,
                service.getExpectedEndpoints(),
                service.getSlotsPerEndpoint(),
                service.getRetryPercent());
    }

    /**
     * Converts a route.
     *
     * @param route a route with a work class
     * @return the same route as a record
     */
    public static RouteDefinition toDefinition(Route route) {
        return new RouteDefinition(
                route.getName(),
                route.getHost(),
                route.getMethod(),
                route.getPath(),
                route.getPrefix(),
                route.getHeadersMap(),
                route.getService(),
                toWorkClass(route),
                route.getIdempotent(),
                route.getDeadlineMillis(),
                route.getPriority(),
                toPolicy(route));
    }

    /** Replaces numbers that are 0, which stands for not set, by their defaults. */
    private static RoutePolicy toPolicy(Route route) {
        int objective = route.getObjectiveMillis();
        int attempts = route.getMaximumAttempts();
        return new RoutePolicy(
                objective == 0 ? RoutePolicy.DEFAULT.targetMillis() : objective,
                attempts == 0 ? RoutePolicy.DEFAULT.maximumAttempts() : attempts,
                route.getSplitList().stream()
                        .map(part -> new WeightedService(part.getService(), part.getWeight()))
                        .toList(),
                route.getBelowOnly());
    }

    /**
     * Converts a tenant.
     *
     * @param tenant a tenant
     * @return the same tenant as a record
     */
    public static TenantDefinition toDefinition(Tenant tenant) {
        return new TenantDefinition(tenant.getName(), tenant.getWeight());
    }

    /**
     * Converts a service.
     *
     * @param definition a valid service
     * @return the same service as a message
     */
    public static Entity toEntity(ServiceDefinition definition) {
        Service.Builder service =
                Service.newBuilder()
                        .setName(definition.name())
                        .setExpectedEndpoints(definition.expectedEndpoints())
                        .setSlotsPerEndpoint(definition.slotsPerEndpoint())
                        .setRetryPercent(definition.retryPercent());
        switch (definition.floor()) {
            case Floor.Count(int endpoints) -> service.setFloorEndpoints(endpoints);
            case Floor.Share(int percent) -> service.setFloorPercent(percent);
        }
        return Entity.newBuilder().setService(service).build();
    }

    /**
     * Converts a route.
     *
     * @param definition a valid route
     * @return the same route as a message
     */
    public static Entity toEntity(RouteDefinition definition) {
        Route.Builder route =
                Route.newBuilder()
                        .setName(definition.name())
                        .setHost(definition.host())
                        .setMethod(definition.method())
                        .setPath(definition.path())
                        .setPrefix(definition.prefix())
                        .putAllHeaders(definition.headers())
                        .setService(definition.service())
                        .setWorkClass(
                                switch (definition.workClass()) {
                                    case SHORT -> WorkClass.WORK_CLASS_SHORT;
                                    case LONG -> WorkClass.WORK_CLASS_LONG;
                                })
                        .setIdempotent(definition.idempotent())
                        .setDeadlineMillis(definition.deadlineMillis())
                        .setPriority(definition.priority())
                        .setObjectiveMillis(definition.policy().targetMillis())
                        .setMaximumAttempts(definition.policy().maximumAttempts())
                        .setBelowOnly(definition.policy().belowOnly());
        for (WeightedService part : definition.policy().split()) {
            route.addSplit(
                    org.arbutuslock.v1.WeightedService.newBuilder()
                            .setService(part.service())
                            .setWeight(part.weight()));
        }
        return Entity.newBuilder().setRoute(route).build();
    }

    /**
     * Converts a tenant.
     *
     * @param definition a valid tenant
     * @return the same tenant as a message
     */
    public static Entity toEntity(TenantDefinition definition) {
        return Entity.newBuilder()
                .setTenant(
                        Tenant.newBuilder()
                                .setName(definition.name())
                                .setWeight(definition.weight()))
                .build();
    }

    static String nameOf(Entity entity) {
        return switch (entity.getEntityCase()) {
            case SERVICE -> entity.getService().getName();
            case ROUTE -> entity.getRoute().getName();
            case TENANT -> entity.getTenant().getName();
            case ENTITY_NOT_SET -> "";
        };
    }

    private static org.arbutuslock.api.WorkClass toWorkClass(Route route) {
        return switch (route.getWorkClass()) {
            case WORK_CLASS_SHORT -> org.arbutuslock.api.WorkClass.SHORT;
            case WORK_CLASS_LONG -> org.arbutuslock.api.WorkClass.LONG;
            case WORK_CLASS_UNSPECIFIED, UNRECOGNIZED ->
                    throw new IllegalArgumentException(
                            "route "
                                    + route.getName()
                                    + " has no work class; set WORK_CLASS_SHORT or"
                                    + " WORK_CLASS_LONG");
        };
    }
}
