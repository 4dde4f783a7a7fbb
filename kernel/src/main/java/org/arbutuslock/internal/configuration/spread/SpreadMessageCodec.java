package org.arbutuslock.internal.configuration.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.arbutuslock.internal.configuration.ConfigurationLimits;
import org.arbutuslock.internal.configuration.SnapshotCodec;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/** Encodes and decodes {@link SpreadMessage} with MessagePack. */
public final class SpreadMessageCodec {
    /** Largest number of changes in one message. */
    static final int MAXIMUM_CHANGES = 256;

    /** Largest encoded message in bytes: one change of the largest size and the other fields. */
    static final int MAXIMUM_MESSAGE_BYTES = ConfigurationLimits.ENCODED_BYTES + (4 << 10);

    private static final int MAXIMUM_FIELDS = 10;
    private static final int MAXIMUM_NAME_BYTES = 255;

    private SpreadMessageCodec() {}

    /** Message types with their number of fields. The ordinal is part of the wire format. */
    private enum Type {
        DIGEST(9),
        CHANGES(10),
        CHANGES_REQUEST(6),
        SNAPSHOT_REQUEST(6),
        SNAPSHOT_PART(7);

        private final int mFields;

        Type(int fields) {
            mFields = fields;
        }
    }

    /**
     * Encodes a message.
     *
     * @param message message to encode
     * @return payload for {@link #decode}
     */
    public static byte[] encode(SpreadMessage message) {
        MessageWriter writer = new MessageWriter();
        switch (message) {
            case SpreadMessage.Digest digest -> {
                start(writer, Type.DIGEST, message).writeLong(digest.revision());
                writeId(writer, digest.headId())
                        .writeLong(digest.firstHeld())
                        .writeLong(digest.watcherAgeMillis())
                        .writeBoolean(digest.replyWanted());
            }
            case SpreadMessage.Changes changes -> writeChanges(writer, changes);
            case SpreadMessage.ChangesRequest request ->
                    writeId(
                            start(writer, Type.CHANGES_REQUEST, message).writeLong(request.after()),
                            request.headId());
            case SpreadMessage.SnapshotRequest request ->
                    start(writer, Type.SNAPSHOT_REQUEST, message)
                            .writeLong(request.revision())
                            .writeLong(request.part())
                            .writeLong(request.count());
            case SpreadMessage.SnapshotPart part ->
                    start(writer, Type.SNAPSHOT_PART, message)
                            .writeLong(part.revision())
                            .writeLong(part.part())
                            .writeLong(part.parts())
                            .writeBinary(part.data());
        }
        return writer.toBytes();
    }

    private static MessageWriter start(MessageWriter writer, Type type, SpreadMessage message) {
        return writer.writeArrayHeader(type.mFields)
                .writeEnum(type)
                .writeString(message.sender().node())
                .writeString(message.sender().address());
    }

    private static MessageWriter writeId(MessageWriter writer, UUID id) {
        return writer.writeLong(id.getMostSignificantBits())
                .writeLong(id.getLeastSignificantBits());
    }

    private static void writeChanges(MessageWriter writer, SpreadMessage.Changes message) {
        start(writer, Type.CHANGES, message).writeLong(message.revision());
        writeId(writer, message.baseId())
                .writeString(message.origin().region())
                .writeString(message.origin().zone())
                .writeBoolean(message.repair())
                .writeArrayHeader(message.changes().size());
        message.changes().forEach(writer::writeBinary);
    }

    /**
     * Decodes a message.
     *
     * @param encoded whole payload
     * @return decoded message
     * @throws MessageFormatException when the payload is not exactly one valid message
     */
    public static SpreadMessage decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            if (encoded.length > MAXIMUM_MESSAGE_BYTES) {
                throw reader.formatError(
                        "message",
                        encoded.length + " bytes, allowed 0 to " + MAXIMUM_MESSAGE_BYTES);
            }
            int fields = reader.readArrayHeader("message", MAXIMUM_FIELDS);
            Type type = reader.readEnum("type", Type.values());
            if (fields != type.mFields) {
                throw reader.formatError(
                        "message", fields + " fields, allowed " + type.mFields + " for " + type);
            }
            SpreadMessage.Sender sender =
                    new SpreadMessage.Sender(readName(reader, "sender"), readName(reader, "from"));
            SpreadMessage message = readFields(reader, type, sender);
            reader.expectEnd();
            return message;
        }
    }

    private static SpreadMessage readFields(
            MessageReader reader, Type type, SpreadMessage.Sender sender)
            throws MessageFormatException {
        return switch (type) {
            case DIGEST ->
                    new SpreadMessage.Digest(
                            sender,
                            readNumber(reader, "revision"),
                            readId(reader, "headId"),
                            readNumber(reader, "firstHeld"),
                            readNumber(reader, "watcherAgeMillis"),
                            reader.readBoolean("replyWanted"));
            case CHANGES -> readChanges(reader, sender);
            case CHANGES_REQUEST ->
                    new SpreadMessage.ChangesRequest(
                            sender, readNumber(reader, "after"), readId(reader, "headId"));
            case SNAPSHOT_REQUEST ->
                    new SpreadMessage.SnapshotRequest(
                            sender,
                            readNumber(reader, "revision"),
                            reader.readInt("part", 0, SnapshotCodec.MAXIMUM_PARTS - 1),
                            reader.readInt("count", 1, SnapshotDownload.WINDOW_PARTS));
            case SNAPSHOT_PART -> readPart(reader, sender);
        };
    }

    private static SpreadMessage readChanges(MessageReader reader, SpreadMessage.Sender sender)
            throws MessageFormatException {
        long revision = readNumber(reader, "revision");
        UUID baseId = readId(reader, "baseId");
        SpreadMessage.Origin origin =
                new SpreadMessage.Origin(
                        readName(reader, "origin.region"), readName(reader, "origin.zone"));
        boolean repair = reader.readBoolean("repair");
        int count = reader.readArrayHeader("changes", MAXIMUM_CHANGES);
        List<byte[]> changes = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            changes.add(reader.readBinary("changes", ConfigurationLimits.ENCODED_BYTES));
        }
        return new SpreadMessage.Changes(sender, revision, baseId, origin, repair, changes);
    }

    private static SpreadMessage readPart(MessageReader reader, SpreadMessage.Sender sender)
            throws MessageFormatException {
        long revision = reader.readLong("revision", 1, Long.MAX_VALUE);
        int part = reader.readInt("part", 0, SnapshotCodec.MAXIMUM_PARTS - 1);
        int parts = reader.readInt("parts", part + 1, SnapshotCodec.MAXIMUM_PARTS);
        byte[] data = reader.readBinary("data", SnapshotCodec.PEER_PART_BYTES);
        return new SpreadMessage.SnapshotPart(sender, revision, part, parts, data);
    }

    private static String readName(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readString(field, MAXIMUM_NAME_BYTES);
    }

    private static long readNumber(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readLong(field, 0, Long.MAX_VALUE);
    }

    private static UUID readId(MessageReader reader, String field) throws MessageFormatException {
        return new UUID(
                reader.readLong(field, Long.MIN_VALUE, Long.MAX_VALUE),
                reader.readLong(field, Long.MIN_VALUE, Long.MAX_VALUE));
    }
}
