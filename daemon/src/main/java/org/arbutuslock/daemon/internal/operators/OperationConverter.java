package org.arbutuslock.daemon.internal.operators;

import java.util.List;
import org.arbutuslock.internal.configuration.ConfigurationChange;
import org.arbutuslock.internal.configuration.ConfigurationOperation;
import org.arbutuslock.v1.Change;
import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.Operation;

/** Converts changes and their operations between the messages of operators and the change log. */
final class OperationConverter {
    private OperationConverter() {}

    /**
     * Converts operations that {@link RequestChecker} has accepted.
     *
     * @throws IllegalArgumentException when an operation is incomplete
     */
    static List<ConfigurationOperation> toOperations(List<Operation> operations) {
        return operations.stream().map(OperationConverter::toOperation).toList();
    }

    static Change toChange(ConfigurationChange change) {
        Change.Builder builder =
                Change.newBuilder()
                        .setRevision(change.revision())
                        .setChangeId(change.displayId())
                        .setAuthor(change.author())
                        .setBaseRevision(change.baseRevision())
                        .setAcceptedAtMillis(change.wallTimeMillis())
                        .setRollbackOfRevision(change.restoredRevision());
        change.operations().forEach(operation -> builder.addOperations(toMessage(operation)));
        return builder.build();
    }

    private static ConfigurationOperation toOperation(Operation operation) {
        return switch (operation.getOperationCase()) {
            case PUT -> toPut(operation.getPut());
            case DELETE -> toDelete(operation.getDelete());
            case OPERATION_NOT_SET ->
                    throw new IllegalArgumentException("the operation is neither put nor delete");
        };
    }

    private static ConfigurationOperation toPut(Entity entity) {
        return switch (entity.getEntityCase()) {
            case SERVICE ->
                    new ConfigurationOperation.PutService(
                            EntityConverter.toDefinition(entity.getService()));
            case ROUTE ->
                    new ConfigurationOperation.PutRoute(
                            EntityConverter.toDefinition(entity.getRoute()));
            case TENANT ->
                    new ConfigurationOperation.PutTenant(
                            EntityConverter.toDefinition(entity.getTenant()));
            case ENTITY_NOT_SET ->
                    throw new IllegalArgumentException("the put operation has no entity");
        };
    }

    private static ConfigurationOperation toDelete(EntityName name) {
        return switch (name.getKind()) {
            case ENTITY_KIND_SERVICE -> new ConfigurationOperation.DeleteService(name.getName());
            case ENTITY_KIND_ROUTE -> new ConfigurationOperation.DeleteRoute(name.getName());
            case ENTITY_KIND_TENANT -> new ConfigurationOperation.DeleteTenant(name.getName());
            case ENTITY_KIND_UNSPECIFIED, UNRECOGNIZED ->
                    throw new IllegalArgumentException("the delete operation has an unknown kind");
        };
    }

    private static Operation toMessage(ConfigurationOperation operation) {
        return switch (operation) {
            case ConfigurationOperation.PutService(var service) ->
                    put(EntityConverter.toEntity(service));
            case ConfigurationOperation.PutRoute(var route) -> put(EntityConverter.toEntity(route));
            case ConfigurationOperation.PutTenant(var tenant) ->
                    put(EntityConverter.toEntity(tenant));
            case ConfigurationOperation.DeleteService(String name) ->
                    delete(EntityKind.ENTITY_KIND_SERVICE, name);
            case ConfigurationOperation.DeleteRoute(String name) ->
                    delete(EntityKind.ENTITY_KIND_ROUTE, name);
            case ConfigurationOperation.DeleteTenant(String name) ->
                    delete(EntityKind.ENTITY_KIND_TENANT, name);
        };
    }

    private static Operation put(Entity entity) {
        return Operation.newBuilder().setPut(entity).build();
    }

    private static Operation delete(EntityKind kind, String name) {
        return Operation.newBuilder()
                .setDelete(EntityName.newBuilder().setKind(kind).setName(name))
                .build();
    }
}
