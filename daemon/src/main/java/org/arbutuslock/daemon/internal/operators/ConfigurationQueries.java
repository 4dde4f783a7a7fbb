package org.arbutuslock.daemon.internal.operators;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;

/**
 * Reads entities of the configuration in force. Calls wait up to 2 s for the store while this node
 * has no configuration.
 */
final class ConfigurationQueries {
    private static final long STORE_WAIT_SECONDS = 2;

    private final ConfigurationChanges mChanges;
    private final ConfigurationHolder mHolder;
    private final String mNode;

    ConfigurationQueries(ConfigurationChanges changes, ConfigurationHolder holder, String node) {
        mChanges = changes;
        mHolder = holder;
        mNode = node;
    }

    Result<OperatorsBackend.ConfigurationPage> list(EntityKind kind, String afterName, int limit) {
        return withConfiguration(configuration -> page(configuration, kind, afterName, limit));
    }

    Result<OperatorsBackend.ConfigurationPage> find(EntityKind kind, String name) {
        return withConfiguration(
                configuration ->
                        new OperatorsBackend.ConfigurationPage(
                                configuration.revision(),
                                findEntity(configuration, kind, name).stream().toList(),
                                false));
    }

    /**
     * Runs the query. At revision 0 it reads the store first, since the configuration is either
     * empty or not received yet.
     */
    private Result<OperatorsBackend.ConfigurationPage> withConfiguration(
            Function<Configuration, OperatorsBackend.ConfigurationPage> query) {
        if (mHolder.current().revision() == 0) {
            Result<Long> result =
                    mChanges.catchUp()
                            .completeOnTimeout(
                                    Result.failed(
                                            "read configuration",
                                            "platform store",
                                            "no response within " + STORE_WAIT_SECONDS + " s"),
                                    STORE_WAIT_SECONDS,
                                    TimeUnit.SECONDS)
                            .join();
            if (mHolder.current().revision() == 0
                    && result instanceof Result.Failed<Long>(Failure failure)) {
                return Result.failed(
                        "read configuration",
                        mNode,
                        "the node has no configuration yet, and the store could not be read: "
                                + failure);
            }
        }
        return Result.success(query.apply(mHolder.current()));
    }

    private static Optional<Entity> findEntity(
            Configuration configuration, EntityKind kind, String name) {
        return switch (kind) {
            case ENTITY_KIND_SERVICE -> configuration.service(name).map(EntityConverter::toEntity);
            case ENTITY_KIND_ROUTE -> configuration.route(name).map(EntityConverter::toEntity);
            case ENTITY_KIND_TENANT -> configuration.tenant(name).map(EntityConverter::toEntity);
            case ENTITY_KIND_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
        };
    }

    private static OperatorsBackend.ConfigurationPage page(
            Configuration configuration, EntityKind kind, String afterName, int limit) {
        List<String> names = namesAfter(configuration, kind, afterName, limit + 1);
        boolean more = names.size() > limit;
        List<Entity> entities = new ArrayList<>();
        for (String name : more ? names.subList(0, limit) : names) {
            findEntity(configuration, kind, name).ifPresent(entities::add);
        }
        return new OperatorsBackend.ConfigurationPage(configuration.revision(), entities, more);
    }

    /** Keeps only the smallest names in a heap, which avoids sorting all entities for a page. */
    private static List<String> namesAfter(
            Configuration configuration, EntityKind kind, String afterName, int limit) {
        PriorityQueue<String> smallest = new PriorityQueue<>(Comparator.reverseOrder());
        Consumer<String> consumer =
                name -> {
                    if (name.compareTo(afterName) <= 0
                            || smallest.size() == limit && name.compareTo(smallest.peek()) >= 0) {
                        return;
                    }
                    smallest.add(name);
                    if (smallest.size() > limit) {
                        smallest.poll();
                    }
                };
        forEachName(configuration, kind, consumer);
        List<String> names = new ArrayList<>(smallest);
        names.sort(null);
        return names;
    }

    private static void forEachName(
            Configuration configuration, EntityKind kind, Consumer<String> consumer) {
        switch (kind) {
            case ENTITY_KIND_SERVICE ->
                    configuration.forEachService(
                            (ServiceDefinition service) -> consumer.accept(service.name()));
            case ENTITY_KIND_ROUTE ->
                    configuration.forEachRoute(
                            (RouteDefinition route) -> consumer.accept(route.name()));
            case ENTITY_KIND_TENANT ->
                    configuration.forEachTenant(
                            (TenantDefinition tenant) -> consumer.accept(tenant.name()));
            case ENTITY_KIND_UNSPECIFIED, UNRECOGNIZED -> {}
        }
    }
}
