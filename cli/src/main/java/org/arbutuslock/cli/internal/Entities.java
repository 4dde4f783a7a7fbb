package org.arbutuslock.cli.internal;

import org.arbutuslock.v1.Entity;
import org.arbutuslock.v1.EntityKind;
import org.arbutuslock.v1.EntityName;
import org.arbutuslock.v1.Operation;

/** Static factories of entity names and operations. */
final class Entities {
    private Entities() {}

    static EntityName nameOf(Entity entity) {
        return switch (entity.getEntityCase()) {
            case SERVICE -> name(EntityKind.ENTITY_KIND_SERVICE, entity.getService().getName());
            case ROUTE -> name(EntityKind.ENTITY_KIND_ROUTE, entity.getRoute().getName());
            case TENANT -> name(EntityKind.ENTITY_KIND_TENANT, entity.getTenant().getName());
            case ENTITY_NOT_SET -> EntityName.getDefaultInstance();
        };
    }

    static EntityName nameOf(Operation operation) {
        return operation.hasPut() ? nameOf(operation.getPut()) : operation.getDelete();
    }

    static EntityName name(EntityKind kind, String name) {
        return EntityName.newBuilder().setKind(kind).setName(name).build();
    }

    static Operation put(Entity entity) {
        return Operation.newBuilder().setPut(entity).build();
    }

    static Operation delete(EntityName name) {
        return Operation.newBuilder().setDelete(name).build();
    }

    static String kindName(EntityKind kind) {
        return switch (kind) {
            case ENTITY_KIND_SERVICE -> "service";
            case ENTITY_KIND_ROUTE -> "route";
            case ENTITY_KIND_TENANT -> "tenant";
            case ENTITY_KIND_UNSPECIFIED, UNRECOGNIZED -> "entity";
        };
    }
}
