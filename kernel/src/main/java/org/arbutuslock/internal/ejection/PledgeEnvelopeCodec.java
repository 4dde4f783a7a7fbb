package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/**
 * Encodes and decodes pledge messages with their addressing in MessagePack.
 *
 * <pre>{@code
 * PledgeEnvelope envelope = PledgeEnvelopeCodec.decode(PledgeEnvelopeCodec.encode(sent));
 * }</pre>
 */
public final class PledgeEnvelopeCodec {
    private static final int ENVELOPE_FIELDS = 3;
    private static final int MAXIMUM_REASON_BYTES = 1_024;
    private static final long MAXIMUM_DURATION_MILLIS = 3_600_000;

    private PledgeEnvelopeCodec() {}

    /**
     * Encodes an envelope.
     *
     * @param envelope the envelope
     * @return the encoded envelope
     */
    public static byte[] encode(PledgeEnvelope envelope) {
        MessageWriter writer = new MessageWriter().writeArrayHeader(ENVELOPE_FIELDS);
        writer.writeEndpoint(envelope.destination());
        switch (envelope.message()) {
            case PledgeMessage.Request request -> writeRequest(writer, request);
            case PledgeMessage.Reply reply -> writeReply(writer, reply);
            case PledgeMessage.Release release -> {
                writer.writeEnum(Type.RELEASE).writeArrayHeader(Type.RELEASE.mFields);
                writer.writeEndpoint(release.requester());
                writer.writeLong(release.requesterIncarnation()).writeLong(release.number());
            }
            case PledgeMessage.Revoked revoked -> writeRevoked(writer, revoked);
        }
        return writer.toBytes();
    }

    /**
     * Decodes an envelope.
     *
     * @param encoded bytes of exactly one envelope
     * @return the envelope
     * @throws MessageFormatException when the bytes are not exactly one valid envelope
     */
    public static PledgeEnvelope decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            reader.expectArray("pledgeEnvelope", ENVELOPE_FIELDS);
            EndpointId destination = reader.readEndpoint("destination");
            Type type = reader.readEnum("type", Type.values());
            reader.expectArray("pledgeMessage", type.mFields);
            PledgeMessage message = readMessage(reader, type);
            reader.expectEnd();
            return new PledgeEnvelope(destination, message);
        }
    }

    private static void writeRequest(MessageWriter writer, PledgeMessage.Request request) {
        writer.writeEnum(Type.REQUEST).writeArrayHeader(Type.REQUEST.mFields);
        writer.writeEndpoint(request.requester());
        writer.writeLong(request.requesterIncarnation())
                .writeLong(request.number())
                .writeLong(request.durationMillis());
    }

    private static void writeReply(MessageWriter writer, PledgeMessage.Reply reply) {
        writer.writeEnum(Type.REPLY).writeArrayHeader(Type.REPLY.mFields);
        writer.writeEndpoint(reply.pledger());
        writer.writeLong(reply.pledgerIncarnation());
        writer.writeEndpoint(reply.requester());
        writer.writeLong(reply.requesterIncarnation())
                .writeLong(reply.number())
                .writeBoolean(reply.granted())
                .writeString(reply.reason());
    }

    private static void writeRevoked(MessageWriter writer, PledgeMessage.Revoked revoked) {
        writer.writeEnum(Type.REVOKED).writeArrayHeader(Type.REVOKED.mFields);
        writer.writeEndpoint(revoked.pledger());
        writer.writeLong(revoked.pledgerIncarnation());
        writer.writeEndpoint(revoked.requester());
        writer.writeLong(revoked.requesterIncarnation()).writeLong(revoked.number());
    }

    private static PledgeMessage readMessage(MessageReader reader, Type type)
            throws MessageFormatException {
        return switch (type) {
            case REQUEST ->
                    new PledgeMessage.Request(
                            reader.readEndpoint("requester"),
                            readNumber(reader, "requesterIncarnation"),
                            readNumber(reader, "number"),
                            reader.readLong("durationMillis", 0, MAXIMUM_DURATION_MILLIS));
            case REPLY ->
                    new PledgeMessage.Reply(
                            reader.readEndpoint("pledger"),
                            readNumber(reader, "pledgerIncarnation"),
                            reader.readEndpoint("requester"),
                            readNumber(reader, "requesterIncarnation"),
                            readNumber(reader, "number"),
                            reader.readBoolean("granted"),
                            reader.readString("reason", MAXIMUM_REASON_BYTES));
            case RELEASE ->
                    new PledgeMessage.Release(
                            reader.readEndpoint("requester"),
                            readNumber(reader, "requesterIncarnation"),
                            readNumber(reader, "number"));
            case REVOKED ->
                    new PledgeMessage.Revoked(
                            reader.readEndpoint("pledger"),
                            readNumber(reader, "pledgerIncarnation"),
                            reader.readEndpoint("requester"),
                            readNumber(reader, "requesterIncarnation"),
                            readNumber(reader, "number"));
        };
    }

    private static long readNumber(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readLong(field, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Message types. The ordinal is sent, so the order is part of the protocol. */
    private enum Type {
        REQUEST(4),
        REPLY(7),
        RELEASE(3),
        REVOKED(5);

        private final int mFields;

        Type(int fields) {
            mFields = fields;
        }
    }
}
