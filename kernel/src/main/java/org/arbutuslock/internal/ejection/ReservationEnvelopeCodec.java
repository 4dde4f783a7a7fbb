package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/**
 * Encodes and decodes reservation messages with their addressing in MessagePack.
 *
 * <pre>{@code
 * byte[] encoded = ReservationEnvelopeCodec.encode(envelope);
 * ReservationEnvelope decoded = ReservationEnvelopeCodec.decode(encoded);
 * }</pre>
 */
public final class ReservationEnvelopeCodec {
    private static final int ENVELOPE_FIELDS = 3;
    private static final int MAXIMUM_REASON_BYTES = 1_024;
    private static final long MAXIMUM_DURATION_MILLIS = 3_600_000;

    private ReservationEnvelopeCodec() {}

    /**
     * Encodes an envelope.
     *
     * @param envelope the envelope
     * @return the encoded envelope
     */
    public static byte[] encode(ReservationEnvelope envelope) {
        MessageWriter writer = new MessageWriter().writeArrayHeader(ENVELOPE_FIELDS);
        writer.writeEndpoint(envelope.destination());
        switch (envelope.message()) {
            case ReservationMessage.Request request -> writeRequest(writer, request);
            case ReservationMessage.Reply reply -> writeReply(writer, reply);
            case ReservationMessage.Release release -> {
                writer.writeEnum(Type.RELEASE).writeArrayHeader(Type.RELEASE.mFields);
                writer.writeEndpoint(release.requester());
                writer.writeLong(release.requesterIncarnation()).writeLong(release.number());
            }
            case ReservationMessage.Revoked revoked -> writeRevoked(writer, revoked);
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
    public static ReservationEnvelope decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            reader.expectArray("pledgeEnvelope", ENVELOPE_FIELDS);
            EndpointId destination = reader.readEndpoint("destination");
            Type type = reader.readEnum("type", Type.values());
            reader.expectArray("pledgeMessage", type.mFields);
            ReservationMessage message = readMessage(reader, type);
            reader.expectEnd();
            return new ReservationEnvelope(destination, message);
        }
    }

    private static void writeRequest(MessageWriter writer, ReservationMessage.Request request) {
        writer.writeEnum(Type.REQUEST).writeArrayHeader(Type.REQUEST.mFields);
        writer.writeEndpoint(request.requester());
        writer.writeLong(request.requesterIncarnation())
                .writeLong(request.number())
                .writeLong(request.durationMillis());
    }

    private static void writeReply(MessageWriter writer, ReservationMessage.Reply reply) {
        writer.writeEnum(Type.REPLY).writeArrayHeader(Type.REPLY.mFields);
        writer.writeEndpoint(reply.grantor());
        writer.writeLong(reply.grantorIncarnation());
        writer.writeEndpoint(reply.requester());
        writer.writeLong(reply.requesterIncarnation())
                .writeLong(reply.number())
                .writeBoolean(reply.granted())
                .writeString(reply.reason());
    }

    private static void writeRevoked(MessageWriter writer, ReservationMessage.Revoked revoked) {
        writer.writeEnum(Type.REVOKED).writeArrayHeader(Type.REVOKED.mFields);
        writer.writeEndpoint(revoked.grantor());
        writer.writeLong(revoked.grantorIncarnation());
        writer.writeEndpoint(revoked.requester());
        writer.writeLong(revoked.requesterIncarnation()).writeLong(revoked.number());
    }

    private static ReservationMessage readMessage(MessageReader reader, Type type)
            throws MessageFormatException {
        return switch (type) {
            case REQUEST ->
                    new ReservationMessage.Request(
                            reader.readEndpoint("requester"),
                            readNumber(reader, "requesterIncarnation"),
                            readNumber(reader, "number"),
                            reader.readLong("durationMillis", 0, MAXIMUM_DURATION_MILLIS));
            case REPLY ->
                    new ReservationMessage.Reply(
                            reader.readEndpoint("pledger"),
                            readNumber(reader, "pledgerIncarnation"),
                            reader.readEndpoint("requester"),
                            readNumber(reader, "requesterIncarnation"),
                            readNumber(reader, "number"),
                            reader.readBoolean("granted"),
                            reader.readString("reason", MAXIMUM_REASON_BYTES));
            case RELEASE ->
                    new ReservationMessage.Release(
                            reader.readEndpoint("requester"),
                            readNumber(reader, "requesterIncarnation"),
                            readNumber(reader, "number"));
            case REVOKED ->
                    new ReservationMessage.Revoked(
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
