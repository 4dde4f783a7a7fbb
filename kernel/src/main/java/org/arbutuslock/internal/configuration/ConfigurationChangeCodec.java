package org.arbutuslock.internal.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.arbutuslock.api.TenantDefinition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

/**
 * Encodes changes as MessagePack for the store and for messages between nodes.
 *
 * <pre>{@code
 * byte[] value = ConfigurationChangeCodec.encode(change);
 * ConfigurationChange same = ConfigurationChangeCodec.decode(value);
 * }</pre>
 */
public final class ConfigurationChangeCodec {
    private static final int FORMAT_VERSION = 2;
    private static final int CHANGE_FIELDS = 10;

    /** Version 1 lacks the operator's id and the restored revision; it can still be decoded. */
    private static final int FIRST_FORMAT_VERSION = 1;

    private static final int FIRST_CHANGE_FIELDS = 8;
    private static final int PUT_SERVICE = 1;
    private static final int DELETE_SERVICE = 2;
    private static final int PUT_ROUTE = 3;
    private static final int DELETE_ROUTE = 4;
    private static final int PUT_TENANT = 5;
    private static final int DELETE_TENANT = 6;

    private ConfigurationChangeCodec() {}

    /**
     * Encodes a change.
     *
     * @param change change to encode
     * @return one MessagePack array; its size is checked when the change is submitted
     */
    public static byte[] encode(ConfigurationChange change) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(CHANGE_FIELDS)
                    .packInt(FORMAT_VERSION)
                    .packLong(change.revision())
                    .packLong(change.changeId().getMostSignificantBits())
                    .packLong(change.changeId().getLeastSignificantBits())
                    .packString(change.author())
                    .packLong(change.wallTimeMillis())
                    .packLong(change.baseRevision())
                    .packArrayHeader(change.operations().size() * 2);
            for (ConfigurationOperation operation : change.operations()) {
                packOperation(packer, operation);
            }
            packer.packString(change.operatorId()).packLong(change.restoredRevision());
            return packer.toByteArray();
        } catch (IOException unexpected) {
            throw new UncheckedIOException(unexpected);
        }
    }

    /**
     * Decodes a change.
     *
     * @param bytes result of {@link #encode}
     * @return the change
     * @throws MalformedConfigurationException when the bytes are not an encoded change
     */
    public static ConfigurationChange decode(byte[] bytes) throws MalformedConfigurationException {
        BoundedUnpacker unpacker = new BoundedUnpacker(bytes);
        int fields = unpacker.readArray("change", FIRST_CHANGE_FIELDS, CHANGE_FIELDS);
        int version = fields == FIRST_CHANGE_FIELDS ? FIRST_FORMAT_VERSION : FORMAT_VERSION;
        unpacker.readInt("change.formatVersion", version, version);
        long revision = unpacker.readLong("change.revision", 1, Long.MAX_VALUE);
        UUID changeId =
                new UUID(
                        unpacker.readRawLong("change.changeId"),
                        unpacker.readRawLong("change.changeId"));
        String author = unpacker.readString("change.author", ConfigurationLimits.AUTHOR_CHARACTERS);
        long wallTimeMillis = unpacker.readRawLong("change.wallTimeMillis");
        long baseRevision = unpacker.readLong("change.baseRevision", revision - 1, revision - 1);
        List<ConfigurationOperation> operations = unpackOperations(unpacker);
        String operatorId = "";
        long restoredRevision = 0;
        if (version == FORMAT_VERSION) {
            operatorId =
                    unpacker.readString(
                            "change.operatorId", ConfigurationLimits.CHANGE_ID_CHARACTERS);
            restoredRevision = unpacker.readLong("change.restoredRevision", 0, baseRevision);
        }
        unpacker.requireEnd();
        return new ConfigurationChange(
                revision,
                changeId,
                author,
                wallTimeMillis,
                baseRevision,
                operations,
                operatorId,
                restoredRevision);
    }

    private static void packOperation(MessagePacker packer, ConfigurationOperation operation)
            throws IOException {
        switch (operation) {
            case ConfigurationOperation.PutService(ServiceDefinition service) ->
                    EntityCodec.pack(packer.packInt(PUT_SERVICE), service);
            case ConfigurationOperation.DeleteService(String name) ->
                    packer.packInt(DELETE_SERVICE).packString(name);
            case ConfigurationOperation.PutRoute(RouteDefinition route) ->
                    EntityCodec.pack(packer.packInt(PUT_ROUTE), route);
            case ConfigurationOperation.DeleteRoute(String name) ->
                    packer.packInt(DELETE_ROUTE).packString(name);
            case ConfigurationOperation.PutTenant(TenantDefinition tenant) ->
                    EntityCodec.pack(packer.packInt(PUT_TENANT), tenant);
            case ConfigurationOperation.DeleteTenant(String name) ->
                    packer.packInt(DELETE_TENANT).packString(name);
        }
    }

    private static List<ConfigurationOperation> unpackOperations(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        int size =
                unpacker.readArray(
                        "change.operations", 2, ConfigurationLimits.OPERATIONS_PER_CHANGE * 2);
        List<ConfigurationOperation> operations = new ArrayList<>();
        for (int index = 0; index < size / 2; index++) {
            operations.add(unpackOperation(unpacker));
        }
        return operations;
    }

    private static ConfigurationOperation unpackOperation(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        int type = unpacker.readInt("operation.type", PUT_SERVICE, DELETE_TENANT);
        return switch (type) {
            case PUT_SERVICE ->
                    new ConfigurationOperation.PutService(EntityCodec.unpackService(unpacker));
            case DELETE_SERVICE -> new ConfigurationOperation.DeleteService(readName(unpacker));
            case PUT_ROUTE ->
                    new ConfigurationOperation.PutRoute(EntityCodec.unpackRoute(unpacker));
            case DELETE_ROUTE -> new ConfigurationOperation.DeleteRoute(readName(unpacker));
            case PUT_TENANT ->
                    new ConfigurationOperation.PutTenant(EntityCodec.unpackTenant(unpacker));
            default -> new ConfigurationOperation.DeleteTenant(readName(unpacker));
        };
    }

    private static String readName(BoundedUnpacker unpacker)
            throws MalformedConfigurationException {
        return EntityCodec.readName(unpacker, "operation.name");
    }
}
