package org.arbutuslock.internal.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/** Encodes messages of the membership protocol with MessagePack. */
public final class GossipMessageCodec {
    /** Largest encoded message. */
    public static final int MAXIMUM_MESSAGE_BYTES = 64 * 1024 - 1;

    private static final int MAXIMUM_FIELDS = 8;
    private static final int MAXIMUM_NAME_BYTES = 255;
    private static final int MAXIMUM_STATEMENTS = 2_048;
    private static final int MAXIMUM_STAMPS = 4_096;
    private static final int MAXIMUM_KEYS = 4_096;
    private static final int DIGEST_BYTES = GossipMessage.BUCKETS * Long.BYTES;

    private GossipMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return encoded bytes
     * @throws IllegalArgumentException when they are too many
     */
    public static byte[] encode(GossipMessage message) {
        MessageWriter writer = new MessageWriter();
        switch (message) {
            case GossipMessage.Heartbeat heartbeat ->
                    start(writer, Type.HEARTBEAT, message).writeLong(heartbeat.number());
            case GossipMessage.HeartbeatReply reply ->
                    start(writer, Type.HEARTBEAT_REPLY, message).writeLong(reply.number());
            case GossipMessage.IndirectHeartbeat indirect ->
                    start(writer, Type.INDIRECT_HEARTBEAT, message)
                            .writeLong(indirect.number())
                            .writeString(indirect.address());
            case GossipMessage.Delta delta -> writeDelta(writer, delta);
            case GossipMessage.Digest digest ->
                    start(writer, Type.DIGEST, message).writeBinary(toBytes(digest.hashes()));
            case GossipMessage.BucketDigest digest -> writeBucketDigest(writer, digest);
            case GossipMessage.PartStamps stamps -> writeParts(writer, stamps);
            case GossipMessage.UpdateRequest request -> {
                start(writer, Type.STATEMENT_REQUEST, message)
                        .writeArrayHeader(request.keys().size());
                request.keys().forEach(writer::writeLong);
            }
        }
        byte[] encoded = writer.toBytes();
        if (encoded.length > MAXIMUM_MESSAGE_BYTES) {
            throw new IllegalArgumentException(
                    message.getClass().getSimpleName()
                            + (" has " + encoded.length + " bytes, allowed ")
                            + MAXIMUM_MESSAGE_BYTES);
        }
        return encoded;
    }

    /**
     * Decodes a message.
     *
     * @param encoded whole payload
     * @return the message
     * @throws MessageFormatException when the payload is not exactly one message
     */
    public static GossipMessage decode(byte[] encoded) throws MessageFormatException {
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
            GossipMessage.Sender sender =
                    new GossipMessage.Sender(readName(reader, "sender"), readName(reader, "from"));
            GossipMessage message = readFields(reader, type, sender);
            reader.expectEnd();
            return message;
        }
    }

    private static GossipMessage readFields(
            MessageReader reader, Type type, GossipMessage.Sender sender)
            throws MessageFormatException {
        return switch (type) {
            case HEARTBEAT -> new GossipMessage.Heartbeat(sender, readNumber(reader, "number"));
            case HEARTBEAT_REPLY ->
                    new GossipMessage.HeartbeatReply(sender, readNumber(reader, "number"));
            case INDIRECT_HEARTBEAT ->
                    new GossipMessage.IndirectHeartbeat(
                            sender, readNumber(reader, "number"), readName(reader, "address"));
            case DELTA -> readDelta(reader, sender);
            case DIGEST -> new GossipMessage.Digest(sender, readHashes(reader, DIGEST_BYTES));
            case BUCKET_DIGEST -> readBucketDigest(reader, sender);
            case PART_STAMPS -> readParts(reader, sender);
            case STATEMENT_REQUEST -> readRequest(reader, sender);
        };
    }

    private static MessageWriter start(MessageWriter writer, Type type, GossipMessage message) {
        return writer.writeArrayHeader(type.mFields)
                .writeEnum(type)
                .writeString(message.sender().node())
                .writeString(message.sender().address());
    }

    private static void writeDelta(MessageWriter writer, GossipMessage.Delta delta) {
        start(writer, Type.DELTA, delta)
                .writeBoolean(delta.repair())
                .writeArrayHeader(delta.updates().size());
        delta.updates().forEach(statement -> StatementCodec.write(writer, statement));
    }

    private static GossipMessage readDelta(MessageReader reader, GossipMessage.Sender sender)
            throws MessageFormatException {
        boolean repair = reader.readBoolean("repair");
        int length = reader.readArrayHeader("statements", MAXIMUM_STATEMENTS);
        List<MembershipUpdate> statements = new ArrayList<>();
        for (int index = 0; index < length; index++) {
            statements.add(StatementCodec.read(reader));
        }
        return new GossipMessage.Delta(sender, repair, statements);
    }

    private static void writeBucketDigest(MessageWriter writer, GossipMessage.BucketDigest digest) {
        start(writer, Type.BUCKET_DIGEST, digest).writeArrayHeader(digest.buckets().size());
        digest.buckets().forEach(writer::writeLong);
        writer.writeBinary(toBytes(digest.hashes()));
    }

    private static GossipMessage readBucketDigest(MessageReader reader, GossipMessage.Sender sender)
            throws MessageFormatException {
        int length = reader.readArrayHeader("buckets", GossipMessage.BUCKETS);
        List<Integer> buckets = new ArrayList<>(length);
        for (int index = 0; index < length; index++) {
            buckets.add(reader.readInt("bucket", 0, GossipMessage.BUCKETS - 1));
        }
        int bytes = length * GossipMessage.PARTS_PER_BUCKET * Long.BYTES;
        return new GossipMessage.BucketDigest(sender, buckets, readHashes(reader, bytes));
    }

    private static void writeParts(MessageWriter writer, GossipMessage.PartStamps stamps) {
        start(writer, Type.PART_STAMPS, stamps).writeArrayHeader(stamps.parts().size());
        for (GossipMessage.Part part : stamps.parts()) {
            writer.writeLong(part.number()).writeArrayHeader(part.stamps().size());
            for (GossipMessage.Stamp stamp : part.stamps()) {
                writer.writeLong(stamp.key())
                        .writeLong(stamp.incarnation())
                        .writeLong(stamp.version())
                        .writeBoolean(stamp.departed());
            }
        }
    }

    private static GossipMessage readParts(MessageReader reader, GossipMessage.Sender sender)
            throws MessageFormatException {
        int length = reader.readArrayHeader("parts", GossipMessage.PARTS);
        List<GossipMessage.Part> parts = new ArrayList<>(length);
        int left = MAXIMUM_STAMPS;
        for (int index = 0; index < length; index++) {
            int number = reader.readInt("part", 0, GossipMessage.PARTS - 1);
            int count = reader.readArrayHeader("stamps", left);
            left -= count;
            List<GossipMessage.Stamp> stamps = new ArrayList<>();
            for (int stamp = 0; stamp < count; stamp++) {
                stamps.add(readStamp(reader));
            }
            parts.add(new GossipMessage.Part(number, stamps));
        }
        return new GossipMessage.PartStamps(sender, parts);
    }

    private static GossipMessage.Stamp readStamp(MessageReader reader)
            throws MessageFormatException {
        return new GossipMessage.Stamp(
                reader.readLong("key", Long.MIN_VALUE, Long.MAX_VALUE),
                reader.readLong("incarnation", Long.MIN_VALUE, Long.MAX_VALUE),
                readNumber(reader, "version"),
                reader.readBoolean("departed"));
    }

    private static GossipMessage readRequest(MessageReader reader, GossipMessage.Sender sender)
            throws MessageFormatException {
        int length = reader.readArrayHeader("keys", MAXIMUM_KEYS);
        List<Long> keys = new ArrayList<>();
        for (int index = 0; index < length; index++) {
            keys.add(reader.readLong("key", Long.MIN_VALUE, Long.MAX_VALUE));
        }
        return new GossipMessage.UpdateRequest(sender, keys);
    }

    private static byte[] toBytes(long[] hashes) {
        ByteBuffer buffer = ByteBuffer.allocate(hashes.length * Long.BYTES);
        buffer.asLongBuffer().put(hashes);
        return buffer.array();
    }

    private static long[] readHashes(MessageReader reader, int bytes)
            throws MessageFormatException {
        byte[] read = reader.readBinary("hashes", bytes);
        if (read.length != bytes) {
            throw reader.formatError("hashes", read.length + " bytes, allowed " + bytes);
        }
        long[] hashes = new long[bytes / Long.BYTES];
        ByteBuffer.wrap(read).asLongBuffer().get(hashes);
        return hashes;
    }

    private static long readNumber(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readLong(field, 0, Long.MAX_VALUE);
    }

    private static String readName(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readString(field, MAXIMUM_NAME_BYTES);
    }

    /** Types on the wire; the order is part of the protocol, new ones are added at the end. */
    private enum Type {
        HEARTBEAT(4),
        HEARTBEAT_REPLY(4),
        INDIRECT_HEARTBEAT(5),
        DELTA(5),
        DIGEST(4),
        BUCKET_DIGEST(5),
        PART_STAMPS(4),
        STATEMENT_REQUEST(4);

        private final int mFields;

        Type(int fields) {
            mFields = fields;
        }
    }
}
