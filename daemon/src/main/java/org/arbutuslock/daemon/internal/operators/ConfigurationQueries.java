package org.arbutuslock.daemon.internal.operators;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Result;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.arbutuslock.internal.configuration.CatchUpResult;
import org.arbutuslock.internal.configuration.ChangeHistory;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.v1.Change;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.HistoryResponse;

/** Reads the configuration in force and the accepted changes. */
final class ConfigurationQueries {
    /** Below the 4 MiB that a client takes; a change has at most 1 MiB. */
    private static final int MAXIMUM_HISTORY_BYTES = 2 << 20;

    private static final long STORE_WAIT_SECONDS = 2;

    private final ConfigurationLog mLog;
    private final ConfigurationHolder mHolder;
    private final String mNode;

    ConfigurationQueries(ConfigurationLog log, ConfigurationHolder holder, String node) {
        mLog = log;
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

    /** Only the store can tell an empty configuration from one that was not received yet. */
    private Result<OperatorsBackend.ConfigurationPage> withConfiguration(
            Function<Configuration, OperatorsBackend.ConfigurationPage> query) {
        if (mHolder.current().revision() == 0) {
            CatchUpResult result =
                    mLog.catchUp()
                            .completeOnTimeout(
                                    new CatchUpResult.StoreUnavailable(
                                            new Failure(
                                                    "read configuration",
                                                    "platform store",
                                                    "no response within "
                                                            + STORE_WAIT_SECONDS
                                                            + " s")),
                                    STORE_WAIT_SECONDS,
                                    TimeUnit.SECONDS)
                            .join();
            if (mHolder.current().revision() == 0 && !(result instanceof CatchUpResult.Current)) {
                return Result.failed(
                        "read configuration",
                        mNode,
                        "no configuration yet; the store could not be read: " + describe(result));
            }
        }
        return Result.success(query.apply(mHolder.current()));
    }

    private static String describe(CatchUpResult result) {
        return result instanceof CatchUpResult.StoreUnavailable(Failure failure)
                ? failure.toString()
                : result.toString();
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

    /** Keeps only the smallest names, so that a page costs no sorting of all entities. */
    private static List<String> namesAfter(
            Configuration configuration, EntityKind kind, String afterName, int limit) {
        PriorityQueue<String> smallest = new PriorityQueue<>(Comparator.reverseOrder());
        Consumer<String> collector =
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
        forEachName(configuration, kind, collector);
        List<String> names = new ArrayList<>(smallest);
        names.sort(null);
        return names;
    }

    private static void forEachName(
            Configuration configuration, EntityKind kind, Consumer<String> collector) {
        switch (kind) {
            case ENTITY_KIND_SERVICE ->
                    configuration.forEachService(
                            (ServiceDefinition service) -> collector.accept(service.name()));
            case ENTITY_KIND_ROUTE ->
                    configuration.forEachRoute(
                            (RouteDefinition route) -> collector.accept(route.name()));
            case ENTITY_KIND_TENANT ->
                    configuration.forEachTenant(
                            (TenantDefinition tenant) -> collector.accept(tenant.name()));
            case ENTITY_KIND_UNSPECIFIED, UNRECOGNIZED -> {}
        }
    }

    CompletableFuture<Result<HistoryResponse>> listChanges(long beforeRevision, int limit) {
        return mLog.catchUp()
                .thenCompose(
                        result -> {
                            if (result instanceof CatchUpResult.StoreUnavailable(var failure)) {
                                return CompletableFuture.completedFuture(
                                        new Result.Failed<>(failure));
                            }
                            long newest = mHolder.current().revision();
                            long last =
                                    beforeRevision == 0
                                            ? newest
                                            : Math.min(newest, beforeRevision - 1);
                            return mLog.history()
                                    .list(last, limit)
                                    .thenApply(ConfigurationQueries::formatHistory);
                        });
    }

    private static Result<HistoryResponse> formatHistory(Result<ChangeHistory.Page> result) {
        return switch (result) {
            case Result.Failed<ChangeHistory.Page>(Failure failure) -> new Result.Failed<>(failure);
            case Result.Success<ChangeHistory.Page>(ChangeHistory.Page page) ->
                    Result.success(formatHistory(page));
        };
    }

    private static HistoryResponse formatHistory(ChangeHistory.Page page) {
        HistoryResponse.Builder response =
                HistoryResponse.newBuilder().setOldestRevision(page.oldestRevision());
        int bytes = 0;
        for (ConfigurationChange change : page.changes()) {
            Change message = OperationConverter.toChange(change);
            bytes += message.getSerializedSize();
            if (bytes > MAXIMUM_HISTORY_BYTES && response.getChangesCount() > 0) {
                return response.setMore(true).build();
            }
            response.addChanges(message);
        }
        boolean more =
                !page.changes().isEmpty()
                        && page.changes().getLast().revision() > page.oldestRevision();
        return response.setMore(more).build();
    }
}
