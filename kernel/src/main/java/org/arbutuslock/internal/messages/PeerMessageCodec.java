package org.arbutuslock.internal.messages;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.progress.RequiredHealth;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.selection.LoadReport;

/**
 * Encodes and decodes messages between nodes. An encoded message is one MessagePack array: the
 * number of the message type, then the fields of the record in the order of their declaration.
 *
 * <pre>{@code
 * byte[] encoded = PeerMessageCodec.encode(new PeerMessage.Heartbeat(7));
 * PeerMessage decoded = PeerMessageCodec.decode(encoded);
 * }</pre>
 */
public final class PeerMessageCodec {
    /** Largest encoded message, in bytes. */
    public static final int MAXIMUM_MESSAGE_BYTES = 1 << 20;

    /** Largest request body that is accepted, in bytes. */
    public static final int MAXIMUM_REQUEST_BODY_BYTES = 1 << 20;

    private static final int MAXIMUM_NAME_BYTES = 255;
    // Callers may send heads of up to 64 KiB, and a byte above 127 takes two bytes in UTF-8.
    private static final int MAXIMUM_TEXT_BYTES = 256 * 1024;
    private static final int MAXIMUM_FIELDS = 16;
    private static final int MAXIMUM_VERSION = 1_000;
    private static final int MINIMUM_STATUS = 100;
    private static final int MAXIMUM_STATUS = 999;
    private static final int MAXIMUM_WEIGHT = 100;
    private static final int MAXIMUM_PRIORITY = 9;

    private PeerMessageCodec() {}

    /**
     * Encodes a message. Every message that this method accepts is accepted by {@link #decode}.
     *
     * @param message the message
     * @return the encoded message, without the length prefix of a frame
     * @throws MessageFormatException when a field or the whole message is beyond its bound
     */
    public static byte[] encode(PeerMessage message) throws MessageFormatException {
        MessageWriter writer = new MessageWriter();
        switch (message) {
            case PeerMessage.Hello hello -> writeHello(writer, hello);
            case PeerMessage.HelloReply reply -> writeHelloReply(writer, reply);
            case PeerMessage.Heartbeat(long number) ->
                    writeNumber(start(writer, MessageType.HEARTBEAT), "number", number);
            case PeerMessage.HeartbeatReply(long number) ->
                    writeNumber(start(writer, MessageType.HEARTBEAT_REPLY), "number", number);
            case PeerMessage.Submit submit -> writeSubmit(writer, submit);
            case PeerMessage.RequestBody(long stream, long position, byte[] data) -> {
                writeNumber(start(writer, MessageType.REQUEST_BODY), "stream", stream);
                writeNumber(writer, "position", position);
                writer.writeBinary("data", data, PeerMessage.MAXIMUM_BODY_PART_BYTES);
            }
            case PeerMessage.Credit(long stream, int bytes) ->
                    writeNumber(start(writer, MessageType.CREDIT), "stream", stream)
                            .writeLong("bytes", bytes, 1, MAXIMUM_MESSAGE_BYTES);
            case PeerMessage.ResponseHead head -> writeResponseHead(writer, head);
            case PeerMessage.ResponseBody(
                            long stream,
                            long position,
                            byte[] data,
                            boolean last) -> {
                writeNumber(start(writer, MessageType.RESPONSE_BODY), "stream", stream);
                writeNumber(writer, "position", position);
                writer.writeBinary("data", data, PeerMessage.MAXIMUM_BODY_PART_BYTES)
                        .writeBoolean(last);
            }
            case PeerMessage.Refusal refusal -> writeRefusal(writer, refusal);
            case PeerMessage.OutcomeUnknown unknown -> {
                writeNumber(start(writer, MessageType.OUTCOME_UNKNOWN), "stream", unknown.stream());
                writeText(writer, "detail", unknown.detail());
                writeLoad(writer, unknown.load());
            }
            case PeerMessage.Cancel(long stream) ->
                    writeNumber(start(writer, MessageType.CANCEL), "stream", stream);
            case PeerMessage.OutcomeQuery query -> {
                writeNumber(start(writer, MessageType.OUTCOME_QUERY), "query", query.query());
                writeRequestId(writer, query.requestId());
                writer.writeLong(query.incarnation());
                writeNumber(writer, "fencedSession", query.fencedSession());
            }
            case PeerMessage.OutcomeReply reply -> writeOutcomeReply(writer, reply);
            case PeerMessage.Acknowledge(RequestId id) ->
                    writeRequestId(start(writer, MessageType.ACKNOWLEDGE), id);
            case PeerMessage.ChannelMessage(PeerMessage.Channel channel, byte[] payload) ->
                    start(writer, MessageType.CHANNEL_MESSAGE)
                            .writeEnum(channel)
                            .writeBinary("payload", payload, MAXIMUM_MESSAGE_BYTES);
        }
        byte[] encoded = writer.toBytes();
        if (encoded.length > MAXIMUM_MESSAGE_BYTES) {
            throw new MessageFormatException(
                    0,
                    "message",
                    "length " + encoded.length + ", allowed 0 to " + MAXIMUM_MESSAGE_BYTES);
        }
        return encoded;
    }

    /**
     * Decodes a message.
     *
     * @param encoded encoded message, without the length prefix of a frame
     * @return the message
     * @throws MessageFormatException when the bytes are not exactly one message
     */
    public static PeerMessage decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            int fields = reader.readArrayHeader("message", MAXIMUM_FIELDS);
            if (fields < 1) {
                throw reader.formatError(
                        "message", "the array is empty, a message type is required");
            }
            MessageType type = reader.readEnum("type", MessageType.values());
            if (fields != type.fieldCount() && !mayNameRoute(type, fields)) {
                throw reader.formatError(
                        "message",
                        fields + " fields, allowed " + type.fieldCount() + " for " + type);
            }
            PeerMessage message = readFields(reader, type, fields);
            reader.expectEnd();
            return message;
        }
    }

    /** Returns whether this is a submission with one field more, the name of its route. */
    private static boolean mayNameRoute(MessageType type, int fields) {
        return type == MessageType.SUBMIT && fields == type.fieldCount() + 1;
    }

    private static PeerMessage readFields(MessageReader reader, MessageType type, int fields)
            throws MessageFormatException {
        return switch (type) {
            case HELLO -> readHello(reader);
            case HELLO_REPLY -> readHelloReply(reader);
            case HEARTBEAT -> new PeerMessage.Heartbeat(readNumber(reader, "number"));
            case HEARTBEAT_REPLY -> new PeerMessage.HeartbeatReply(readNumber(reader, "number"));
            case SUBMIT -> readSubmit(reader, mayNameRoute(type, fields));
            case REQUEST_BODY ->
                    new PeerMessage.RequestBody(
                            readNumber(reader, "stream"),
                            readNumber(reader, "position"),
                            readBodyPart(reader));
            case CREDIT ->
                    new PeerMessage.Credit(
                            readNumber(reader, "stream"),
                            reader.readInt("bytes", 1, MAXIMUM_MESSAGE_BYTES));
            case RESPONSE_HEAD ->
                    new PeerMessage.ResponseHead(
                            readNumber(reader, "stream"),
                            readStatus(reader),
                            readHeaders(reader),
                            readLoad(reader));
            case RESPONSE_BODY ->
                    new PeerMessage.ResponseBody(
                            readNumber(reader, "stream"),
                            readNumber(reader, "position"),
                            readBodyPart(reader),
                            reader.readBoolean("last"));
            case REFUSAL ->
                    new PeerMessage.Refusal(
                            readNumber(reader, "stream"),
                            reader.readEnum("reason", RefusalReason.values()),
                            readText(reader, "detail"),
                            readLoad(reader));
            case OUTCOME_UNKNOWN ->
                    new PeerMessage.OutcomeUnknown(
                            readNumber(reader, "stream"),
                            readText(reader, "detail"),
                            readLoad(reader));
            case CANCEL -> new PeerMessage.Cancel(readNumber(reader, "stream"));
            case OUTCOME_QUERY ->
                    new PeerMessage.OutcomeQuery(
                            readNumber(reader, "query"),
                            readRequestId(reader),
                            reader.readLong("incarnation", Long.MIN_VALUE, Long.MAX_VALUE),
                            readNumber(reader, "fencedSession"));
            case OUTCOME_REPLY -> readOutcomeReply(reader);
            case ACKNOWLEDGE -> new PeerMessage.Acknowledge(readRequestId(reader));
            case CHANNEL_MESSAGE ->
                    new PeerMessage.ChannelMessage(
                            reader.readEnum("channel", PeerMessage.Channel.values()),
                            reader.readBinary("payload", MAXIMUM_MESSAGE_BYTES));
        };
    }

    private static MessageWriter start(MessageWriter writer, MessageType type) {
        return writer.writeArrayHeader(type.fieldCount()).writeEnum(type);
    }

    private static void writeHello(MessageWriter writer, PeerMessage.Hello hello)
            throws MessageFormatException {
        start(writer, MessageType.HELLO)
                .writeLong("lowestVersion", hello.lowestVersion(), 1, MAXIMUM_VERSION)
                .writeLong("highestVersion", hello.highestVersion(), 1, MAXIMUM_VERSION);
        writeName(writer, "node", hello.node()).writeLong(hello.incarnation());
        writeName(writer, "region", hello.region());
        writeName(writer, "availabilityZone", hello.availabilityZone());
    }

    private static PeerMessage readHello(MessageReader reader) throws MessageFormatException {
        return new PeerMessage.Hello(
                reader.readInt("lowestVersion", 1, MAXIMUM_VERSION),
                reader.readInt("highestVersion", 1, MAXIMUM_VERSION),
                readName(reader, "node"),
                reader.readLong("incarnation", Long.MIN_VALUE, Long.MAX_VALUE),
                readName(reader, "region"),
                readName(reader, "availabilityZone"));
    }

    private static void writeHelloReply(MessageWriter writer, PeerMessage.HelloReply reply)
            throws MessageFormatException {
        start(writer, MessageType.HELLO_REPLY)
                .writeLong("version", reply.version(), 1, MAXIMUM_VERSION);
        writeName(writer, "node", reply.node()).writeLong(reply.incarnation());
        writeNumber(writer, "session", reply.session());
        writeName(writer, "region", reply.region());
        writeName(writer, "availabilityZone", reply.availabilityZone());
    }

    private static PeerMessage readHelloReply(MessageReader reader) throws MessageFormatException {
        return new PeerMessage.HelloReply(
                reader.readInt("version", 1, MAXIMUM_VERSION),
                readName(reader, "node"),
                reader.readLong("incarnation", Long.MIN_VALUE, Long.MAX_VALUE),
                readNumber(reader, "session"),
                readName(reader, "region"),
                readName(reader, "availabilityZone"));
    }

    private static void writeSubmit(MessageWriter writer, PeerMessage.Submit submit)
            throws MessageFormatException {
        boolean namesRoute = !submit.route().isEmpty();
        writer.writeArrayHeader(MessageType.SUBMIT.fieldCount() + (namesRoute ? 1 : 0))
                .writeEnum(MessageType.SUBMIT);
        writeNumber(writer, "stream", submit.stream());
        writeRequestId(writer, submit.requestId());
        writer.writeArrayHeader(2);
        writeName(writer, "service", submit.endpoint().service());
        writeName(writer, "backendServer", submit.endpoint().backendServer());
        writeText(writer, "method", submit.method());
        writeText(writer, "target", submit.target());
        writeHeaders(writer, submit.headers());
        writer.writeLong("bodyBytes", submit.bodyBytes(), 0, MAXIMUM_REQUEST_BODY_BYTES)
                .writeEnum(submit.workClass())
                .writeBoolean(submit.idempotent());
        writeText(writer, "tenant", submit.tenant())
                .writeLong("tenantWeight", submit.tenantWeight(), 1, MAXIMUM_WEIGHT)
                .writeLong("priority", submit.priority(), 0, MAXIMUM_PRIORITY)
                .writeLong("remainingMillis", submit.remainingMillis(), 0, Integer.MAX_VALUE);
        SubmissionRequirements requirements = submit.requirements();
        writer.writeLong("objectiveMillis", requirements.objectiveMillis(), 1, Integer.MAX_VALUE)
                .writeEnum(requirements.requiredHealth())
                .writeBoolean(requirements.repetition());
        if (namesRoute) {
            writeText(writer, "route", submit.route());
        }
    }

    private static PeerMessage readSubmit(MessageReader reader, boolean namesRoute)
            throws MessageFormatException {
        return new PeerMessage.Submit(
                readNumber(reader, "stream"),
                readRequestId(reader),
                readEndpoint(reader),
                readText(reader, "method"),
                readText(reader, "target"),
                readHeaders(reader),
                reader.readInt("bodyBytes", 0, MAXIMUM_REQUEST_BODY_BYTES),
                reader.readEnum("workClass", WorkClass.values()),
                reader.readBoolean("idempotent"),
                readText(reader, "tenant"),
                reader.readInt("tenantWeight", 1, MAXIMUM_WEIGHT),
                reader.readInt("priority", 0, MAXIMUM_PRIORITY),
                reader.readInt("remainingMillis", 0, Integer.MAX_VALUE),
                new SubmissionRequirements(
                        reader.readInt("objectiveMillis", 1, Integer.MAX_VALUE),
                        reader.readEnum("health", RequiredHealth.values()),
                        reader.readBoolean("repetition")),
                namesRoute ? readText(reader, "route") : "");
    }

    private static EndpointId readEndpoint(MessageReader reader) throws MessageFormatException {
        reader.expectArray("endpoint", 2);
        return new EndpointId(readName(reader, "service"), readName(reader, "backendServer"));
    }

    private static void writeResponseHead(MessageWriter writer, PeerMessage.ResponseHead head)
            throws MessageFormatException {
        writeNumber(start(writer, MessageType.RESPONSE_HEAD), "stream", head.stream());
        writeStatus(writer, head.status());
        writeHeaders(writer, head.headers());
        writeLoad(writer, head.load());
    }

    private static void writeRefusal(MessageWriter writer, PeerMessage.Refusal refusal)
            throws MessageFormatException {
        writeNumber(start(writer, MessageType.REFUSAL), "stream", refusal.stream())
                .writeEnum(refusal.reason());
        writeText(writer, "detail", refusal.detail());
        writeLoad(writer, refusal.load());
    }

    private static void writeOutcomeReply(MessageWriter writer, PeerMessage.OutcomeReply reply)
            throws MessageFormatException {
        writeNumber(start(writer, MessageType.OUTCOME_REPLY), "query", reply.query())
                .writeEnum(reply.state());
        if (reply.response().isEmpty()) {
            writer.writeArrayHeader(0);
            return;
        }
        BufferedResponse response = reply.response().get();
        writer.writeArrayHeader(3);
        writeStatus(writer, response.status());
        writeHeaders(writer, response.headers());
        writer.writeBinary("body", response.body(), MAXIMUM_MESSAGE_BYTES);
    }

    private static PeerMessage readOutcomeReply(MessageReader reader)
            throws MessageFormatException {
        long query = readNumber(reader, "query");
        OutcomeState state = reader.readEnum("state", OutcomeState.values());
        int fields = reader.readArrayHeader("response", 3);
        if (fields == 0) {
            return new PeerMessage.OutcomeReply(query, state, Optional.empty());
        }
        if (fields != 3) {
            throw reader.formatError("response", fields + " fields, allowed 0 or 3");
        }
        BufferedResponse response =
                new BufferedResponse(
                        readStatus(reader),
                        readHeaders(reader),
                        reader.readBinary("body", MAXIMUM_MESSAGE_BYTES));
        return new PeerMessage.OutcomeReply(query, state, Optional.of(response));
    }

    private static void writeRequestId(MessageWriter writer, RequestId id)
            throws MessageFormatException {
        writer.writeArrayHeader(3);
        writeName(writer, "entryNode", id.entryNode()).writeLong(id.entryIncarnation());
        writeNumber(writer, "sequence", id.sequence());
    }

    private static RequestId readRequestId(MessageReader reader) throws MessageFormatException {
        reader.expectArray("requestId", 3);
        return new RequestId(
                readName(reader, "entryNode"),
                reader.readLong("entryIncarnation", Long.MIN_VALUE, Long.MAX_VALUE),
                readNumber(reader, "sequence"));
    }

    private static void writeHeaders(MessageWriter writer, List<HeaderField> headers)
            throws MessageFormatException {
        writer.writeArrayHeader(headers.size() * 2);
        for (HeaderField header : headers) {
            writeText(writer, "headerName", header.name());
            writeText(writer, "headerValue", header.value());
        }
    }

    private static List<HeaderField> readHeaders(MessageReader reader)
            throws MessageFormatException {
        int length = reader.readArrayHeader("headers");
        if (length % 2 != 0) {
            throw reader.formatError(
                    "headers", "odd length " + length + ", allowed pairs of name and value");
        }
        List<HeaderField> headers = new ArrayList<>(length / 2);
        for (int index = 0; index < length; index += 2) {
            String name = readText(reader, "headerName");
            headers.add(new HeaderField(name, readText(reader, "headerValue")));
        }
        return headers;
    }

    private static void writeLoad(MessageWriter writer, LoadReport load)
            throws MessageFormatException {
        writer.writeArrayHeader(4)
                .writeLong("queueLength", load.queueLength(), 0, Integer.MAX_VALUE)
                .writeLong("limit", load.limit(), 1, Integer.MAX_VALUE);
        writeNumber(writer, "shortWaitNanos", load.shortWaitNanos());
        writeNumber(writer, "longWaitNanos", load.longWaitNanos());
    }

    private static LoadReport readLoad(MessageReader reader) throws MessageFormatException {
        reader.expectArray("load", 4);
        return new LoadReport(
                reader.readInt("queueLength", 0, Integer.MAX_VALUE),
                reader.readInt("limit", 1, Integer.MAX_VALUE),
                reader.readLong("shortWaitNanos", 0, Long.MAX_VALUE),
                reader.readLong("longWaitNanos", 0, Long.MAX_VALUE));
    }

    private static MessageWriter writeNumber(MessageWriter writer, String field, long value)
            throws MessageFormatException {
        return writer.writeLong(field, value, 0, Long.MAX_VALUE);
    }

    private static long readNumber(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readLong(field, 0, Long.MAX_VALUE);
    }

    private static MessageWriter writeName(MessageWriter writer, String field, String value)
            throws MessageFormatException {
        return writer.writeString(field, value, MAXIMUM_NAME_BYTES);
    }

    private static String readName(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readString(field, MAXIMUM_NAME_BYTES);
    }

    private static MessageWriter writeText(MessageWriter writer, String field, String value)
            throws MessageFormatException {
        return writer.writeString(field, value, MAXIMUM_TEXT_BYTES);
    }

    private static String readText(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readString(field, MAXIMUM_TEXT_BYTES);
    }

    private static void writeStatus(MessageWriter writer, int status)
            throws MessageFormatException {
        writer.writeLong("status", status, MINIMUM_STATUS, MAXIMUM_STATUS);
    }

    private static int readStatus(MessageReader reader) throws MessageFormatException {
        return reader.readInt("status", MINIMUM_STATUS, MAXIMUM_STATUS);
    }

    private static byte[] readBodyPart(MessageReader reader) throws MessageFormatException {
        return reader.readBinary("data", PeerMessage.MAXIMUM_BODY_PART_BYTES);
    }
}
