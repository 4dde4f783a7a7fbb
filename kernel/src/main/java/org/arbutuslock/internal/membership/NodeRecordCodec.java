package org.arbutuslock.internal.membership;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/**
 * Encodes node records in the MessagePack format. Decoded names of services, regions and zones are
 * interned, because many records share them.
 */
public final class NodeRecordCodec {
    /** Limit on the endpoints of one node. */
    public static final int MAXIMUM_ENDPOINTS = 1_024;

    private static final int FIELDS = 9;
    private static final int ENDPOINT_FIELDS = 5;
    private static final int MAXIMUM_NAME_BYTES = 255;
    private static final int MAXIMUM_SLOTS = 100_000;
    private static final int WHOLE_PERCENT = 100;

    private NodeRecordCodec() {}

    /**
     * Appends a record.
     *
     * @param writer writer to append to
     * @param record record to encode
     */
    public static void write(MessageWriter writer, NodeRecord record) {
        writer.writeArrayHeader(FIELDS)
                .writeString(record.node())
                .writeLong(record.incarnation())
                .writeLong(record.version())
                .writeString(record.peerAddress())
                .writeString(record.region())
                .writeString(record.availabilityZone())
                .writeLong(record.configurationRevision())
                .writeBoolean(record.draining())
                .writeArrayHeader(record.endpoints().size());
        for (EndpointRecord endpoint : record.endpoints()) {
            writer.writeArrayHeader(ENDPOINT_FIELDS)
                    .writeString(endpoint.id().service())
                    .writeString(endpoint.id().backendServer())
                    .writeLong(endpoint.slots())
                    .writeEnum(endpoint.state())
                    .writeLong(endpoint.weightPercent());
        }
    }

    /**
     * Reads a record.
     *
     * @param reader reader positioned at a record; on return, positioned behind it
     * @return the record
     * @throws MessageFormatException when the record is malformed or exceeds a limit
     */
    public static NodeRecord read(MessageReader reader) throws MessageFormatException {
        expectFields(reader, "nodeRecord", FIELDS);
        return new NodeRecord(
                reader.readString("node", MAXIMUM_NAME_BYTES),
                reader.readLong("incarnation", Long.MIN_VALUE, Long.MAX_VALUE),
                reader.readLong("version", 0, Long.MAX_VALUE),
                reader.readString("peerAddress", MAXIMUM_NAME_BYTES),
                reader.readString("region", MAXIMUM_NAME_BYTES).intern(),
                reader.readString("availabilityZone", MAXIMUM_NAME_BYTES).intern(),
                reader.readLong("configurationRevision", 0, Long.MAX_VALUE),
                reader.readBoolean("draining"),
                readEndpoints(reader));
    }

    private static List<EndpointRecord> readEndpoints(MessageReader reader)
            throws MessageFormatException {
        int length = reader.readArrayHeader("endpoints", MAXIMUM_ENDPOINTS);
        List<EndpointRecord> endpoints = new ArrayList<>(length);
        for (int index = 0; index < length; index++) {
            expectFields(reader, "endpoint", ENDPOINT_FIELDS);
            EndpointId id =
                    new EndpointId(
                            reader.readString("service", MAXIMUM_NAME_BYTES).intern(),
                            reader.readString("backendServer", MAXIMUM_NAME_BYTES));
            endpoints.add(
                    new EndpointRecord(
                            id,
                            reader.readInt("slots", 1, MAXIMUM_SLOTS),
                            reader.readEnum("state", EndpointState.values()),
                            reader.readInt("weightPercent", 0, WHOLE_PERCENT)));
        }
        return endpoints;
    }

    private static void expectFields(MessageReader reader, String field, int expected)
            throws MessageFormatException {
        int fields = reader.readArrayHeader(field, expected);
        if (fields != expected) {
            throw reader.formatError(field, fields + " fields, allowed " + expected);
        }
    }
}
