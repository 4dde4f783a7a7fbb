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
 * Encodes and decodes the messages between nodes. A message is one MessagePack array that starts
 * with the number of its type; fields follow in the order of the record.
 *
 * <pre>{@code
 * byte[] encoded = PeerMessageCodec.encode(new PeerMessage.Heartbeat(7));
 * PeerMessage decoded = PeerMessageCodec.decode(encoded);
 * }</pre>
 */
public final class PeerMessageCodec {
    /** Largest encoded message. */
    public static final int MAXIMUM_MESSAGE_BYTES = 1 << 20;

    /** Largest request body that is accepted. */
    public static final int MAXIMUM_REQUEST_BODY_BYTES = 1 << 20;

    private static final int MAXIMUM_NAME_BYTES = 255;
    private static final int MAXIMUM_TEXT_BYTES = 64 * 1024;
    private static final int MAXIMUM_HEADERS = 256;
    private static final int MAXIMUM_FIELDS = 16;
    private static final int MAXIMUM_VERSION = 1_000;
    private static final int MAXIMUM_STATUS = 999;
    private static final int MAXIMUM_DEADLINE_MILLIS = 3_600_000;
    private static final int MAXIMUM_WEIGHT = 100;
    private static final int MAXIMUM_PRIORITY = 9;

    private PeerMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its bytes without the length of the frame
     */
    public static byte[] encode(PeerMessage message) {
        MessageWriter writer = new MessageWriter();
        switch (message) {
            case PeerMessage.Hello hello -> writeHello(writer, hello);
            case PeerMessage.HelloReply reply -> writeHelloReply(writer, reply);
            case PeerMessage.Heartbeat(long number) ->
                    start(writer, Type.HEARTBEAT).writeLong(number);
            case PeerMessage.HeartbeatReply(long number) ->
                    start(writer, Type.HEARTBEAT_REPLY).writeLong(number);
            case PeerMessage.Submit submit -> writeSubmit(writer, submit);
            case PeerMessage.RequestBody(long stream, long position, byte[] data) ->
                    start(writer, Type.REQUEST_BODY)
                            .writeLong(stream)
                            .writeLong(position)
                            .writeBinary(data);
            case PeerMessage.Credit(long stream, int bytes) ->
                    start(writer, Type.CREDIT).writeLong(stream).writeLong(bytes);
            case PeerMessage.ResponseHead head -> writeResponseHead(writer, head);
            case PeerMessage.ResponseBody(long stream, long position, byte[] data, boolean last) ->
                    start(writer, Type.RESPONSE_BODY)
                            .writeLong(stream)
                            .writeLong(position)
                            .writeBinary(data)
                            .writeBoolean(last);
            case PeerMessage.Refusal refusal -> writeRefusal(writer, refusal);
            case PeerMessage.OutcomeUnknown unknown -> {
                start(writer, Type.OUTCOME_UNKNOWN).writeLong(unknown.stream());
                writer.writeString(unknown.detail());
                writeLoad(writer, unknown.load());
            }
            case PeerMessage.Cancel(long stream) -> start(writer, Type.CANCEL).writeLong(stream);
            case PeerMessage.OutcomeQuery query -> {
                start(writer, Type.OUTCOME_QUERY).writeLong(query.query());
                writeRequestId(writer, query.requestId());
                writer.writeLong(query.incarnation()).writeLong(query.fencedSession());
            }
            case PeerMessage.OutcomeReply reply -> writeOutcomeReply(writer, reply);
            case PeerMessage.Acknowledge(RequestId id) ->
                    writeRequestId(start(writer, Type.ACKNOWLEDGE), id);
            case PeerMessage.ChannelMessage(PeerMessage.Channel channel, byte[] payload) ->
                    start(writer, Type.CHANNEL_MESSAGE).writeEnum(channel).writeBinary(payload);
        }
        return writer.toBytes();
    }

    /**
     * Decodes a message.
     *
     * @param encoded bytes without the length of the frame
     * @return the message
     * @throws MessageFormatException when the bytes are not exactly one message
     */
    public static PeerMessage decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            int fields = reader.readArrayHeader("message", MAXIMUM_FIELDS);
            if (fields < 1) {
                throw reader.formatError("message", "the array is empty; a type is required");
            }
            Type type = reader.readEnum("type", Type.values());
            if (fields != type.mFields) {
                throw reader.formatError(
                        "message", fields + " fields, allowed " + type.mFields + " for " + type);
            }
            PeerMessage message = readFields(reader, type);
            reader.expectEnd();
            return message;
        }
    }

    private static PeerMessage readFields(MessageReader reader, Type type)
            throws MessageFormatException {
        return switch (type) {
            case HELLO -> readHello(reader);
            case HELLO_REPLY -> readHelloReply(reader);
            case HEARTBEAT -> new PeerMessage.Heartbeat(readNumber(reader, "number"));
            case HEARTBEAT_REPLY -> new PeerMessage.HeartbeatReply(readNumber(reader, "number"));
            case SUBMIT -> readSubmit(reader);
            case REQUEST_BODY ->
                    new PeerMessage.RequestBody(
                            readNumber(reader, "stream"),
                            readNumber(reader, "position"),
                            readPart(reader));
            case CREDIT ->
                    new PeerMessage.Credit(
                            readNumber(reader, "stream"),
                            reader.readInt("bytes", 1, MAXIMUM_MESSAGE_BYTES));
            case RESPONSE_HEAD ->
                    new PeerMessage.ResponseHead(
                            readNumber(reader, "stream"),
                            reader.readInt("status", 100, MAXIMUM_STATUS),
                            readHeaders(reader),
                            readLoad(reader));
            case RESPONSE_BODY ->
                    new PeerMessage.ResponseBody(
                            readNumber(reader, "stream"),
                            readNumber(reader, "position"),
                            readPart(reader),
                            reader.readBoolean("last"));
            case REFUSAL ->
                    new PeerMessage.Refusal(
                            readNumber(reader, "stream"),
                            reader.readEnum("reason", RefusalReason.values()),
                            reader.readString("detail", MAXIMUM_TEXT_BYTES),
                            readLoad(reader));
            case OUTCOME_UNKNOWN ->
                    new PeerMessage.OutcomeUnknown(
                            readNumber(reader, "stream"),
                            reader.readString("detail", MAXIMUM_TEXT_BYTES),
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

    private static MessageWriter start(MessageWriter writer, Type type) {
        return writer.writeArrayHeader(type.mFields).writeEnum(type);
    }

    private static void writeHello(MessageWriter writer, PeerMessage.Hello hello) {
        start(writer, Type.HELLO)
                .writeLong(hello.lowestVersion())
                .writeLong(hello.highestVersion())
                .writeString(hello.node())
                .writeLong(hello.incarnation())
                .writeString(hello.region())
                .writeString(hello.availabilityZone());
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

    private static void writeHelloReply(MessageWriter writer, PeerMessage.HelloReply reply) {
        start(writer, Type.HELLO_REPLY)
                .writeLong(reply.version())
                .writeString(reply.node())
                .writeLong(reply.incarnation())
                .writeLong(reply.session())
                .writeString(reply.region())
                .writeString(reply.availabilityZone());
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

    private static void writeSubmit(MessageWriter writer, PeerMessage.Submit submit) {
        start(writer, Type.SUBMIT).writeLong(submit.stream());
        writeRequestId(writer, submit.requestId());
        writer.writeArrayHeader(2)
                .writeString(submit.endpoint().service())
                .writeString(submit.endpoint().backendServer())
                .writeString(submit.method())
                .writeString(submit.target());
        writeHeaders(writer, submit.headers());
        writer.writeLong(submit.bodyBytes())
                .writeEnum(submit.workClass())
                .writeBoolean(submit.idempotent())
                .writeString(submit.tenant())
                .writeLong(submit.tenantWeight())
                .writeLong(submit.priority())
                .writeLong(submit.remainingMillis())
                .writeLong(submit.expectation().objectiveMillis())
                .writeEnum(submit.expectation().requiredHealth())
                .writeBoolean(submit.expectation().repetition());
    }

    private static PeerMessage readSubmit(MessageReader reader) throws MessageFormatException {
        return new PeerMessage.Submit(
                readNumber(reader, "stream"),
                readRequestId(reader),
                readEndpoint(reader),
                readName(reader, "method"),
                reader.readString("target", MAXIMUM_TEXT_BYTES),
                readHeaders(reader),
                reader.readInt("bodyBytes", 0, MAXIMUM_REQUEST_BODY_BYTES),
                reader.readEnum("workClass", WorkClass.values()),
                reader.readBoolean("idempotent"),
                readName(reader, "tenant"),
                reader.readInt("tenantWeight", 1, MAXIMUM_WEIGHT),
                reader.readInt("priority", 0, MAXIMUM_PRIORITY),
                reader.readInt("remainingMillis", 0, MAXIMUM_DEADLINE_MILLIS),
                new SubmissionRequirements(
                        reader.readInt("objectiveMillis", 1, Integer.MAX_VALUE),
                        reader.readEnum("health", RequiredHealth.values()),
                        reader.readBoolean("repetition")));
    }

    private static EndpointId readEndpoint(MessageReader reader) throws MessageFormatException {
        readTuple(reader, "endpoint", 2);
        return new EndpointId(readName(reader, "service"), readName(reader, "backendServer"));
    }

    private static void writeResponseHead(MessageWriter writer, PeerMessage.ResponseHead head) {
        start(writer, Type.RESPONSE_HEAD).writeLong(head.stream()).writeLong(head.status());
        writeHeaders(writer, head.headers());
        writeLoad(writer, head.load());
    }

    private static void writeRefusal(MessageWriter writer, PeerMessage.Refusal refusal) {
        start(writer, Type.REFUSAL)
                .writeLong(refusal.stream())
                .writeEnum(refusal.reason())
                .writeString(refusal.detail());
        writeLoad(writer, refusal.load());
    }

    private static void writeOutcomeReply(MessageWriter writer, PeerMessage.OutcomeReply reply) {
        start(writer, Type.OUTCOME_REPLY).writeLong(reply.query()).writeEnum(reply.state());
        if (reply.response().isEmpty()) {
            writer.writeArrayHeader(0);
            return;
        }
        BufferedResponse response = reply.response().get();
        writer.writeArrayHeader(3).writeLong(response.status());
        writeHeaders(writer, response.headers());
        writer.writeBinary(response.body());
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
                        reader.readInt("status", 100, MAXIMUM_STATUS),
                        readHeaders(reader),
                        reader.readBinary("body", MAXIMUM_MESSAGE_BYTES));
        return new PeerMessage.OutcomeReply(query, state, Optional.of(response));
    }

    private static MessageWriter writeRequestId(MessageWriter writer, RequestId id) {
        return writer.writeArrayHeader(3)
                .writeString(id.entryNode())
                .writeLong(id.entryIncarnation())
                .writeLong(id.sequence());
    }

    private static RequestId readRequestId(MessageReader reader) throws MessageFormatException {
        readTuple(reader, "requestId", 3);
        return new RequestId(
                readName(reader, "entryNode"),
                reader.readLong("entryIncarnation", Long.MIN_VALUE, Long.MAX_VALUE),
                readNumber(reader, "sequence"));
    }

    private static void writeHeaders(MessageWriter writer, List<HeaderField> headers) {
        writer.writeArrayHeader(headers.size() * 2);
        for (HeaderField header : headers) {
            writer.writeString(header.name()).writeString(header.value());
        }
    }

    private static List<HeaderField> readHeaders(MessageReader reader)
            throws MessageFormatException {
        int length = reader.readArrayHeader("headers", MAXIMUM_HEADERS * 2);
        if (length % 2 != 0) {
            throw reader.formatError("headers", "odd length " + length + ", allowed pairs");
        }
        List<HeaderField> headers = new ArrayList<>(length / 2);
        for (int index = 0; index < length; index += 2) {
            String name = readName(reader, "headerName");
            headers.add(
                    new HeaderField(name, reader.readString("headerValue", MAXIMUM_TEXT_BYTES)));
        }
        return headers;
    }

    private static void writeLoad(MessageWriter writer, LoadReport load) {
        writer.writeArrayHeader(4)
                .writeLong(load.queueLength())
                .writeLong(load.limit())
                .writeLong(load.shortWaitNanos())
                .writeLong(load.longWaitNanos());
    }

    private static LoadReport readLoad(MessageReader reader) throws MessageFormatException {
        readTuple(reader, "load", 4);
        return new LoadReport(
                reader.readInt("queueLength", 0, Integer.MAX_VALUE),
                reader.readInt("limit", 1, Integer.MAX_VALUE),
                reader.readLong("shortWaitNanos", 0, Long.MAX_VALUE),
                reader.readLong("longWaitNanos", 0, Long.MAX_VALUE));
    }

    private static void readTuple(MessageReader reader, String field, int expected)
            throws MessageFormatException {
        int fields = reader.readArrayHeader(field, MAXIMUM_FIELDS);
        if (fields != expected) {
            throw reader.formatError(field, fields + " fields, allowed " + expected);
        }
    }

    private static long readNumber(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readLong(field, 0, Long.MAX_VALUE);
    }

    private static String readName(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readString(field, MAXIMUM_NAME_BYTES);
    }

    private static byte[] readPart(MessageReader reader) throws MessageFormatException {
        return reader.readBinary("data", PeerMessage.MAXIMUM_BODY_PART_BYTES);
    }

    /** Types on the wire; the order is part of the protocol, new ones are added at the end. */
    private enum Type {
        HELLO(7),
        HELLO_REPLY(7),
        HEARTBEAT(2),
        HEARTBEAT_REPLY(2),
        SUBMIT(14),
        REQUEST_BODY(4),
        CREDIT(3),
        RESPONSE_HEAD(5),
        RESPONSE_BODY(5),
        REFUSAL(5),
        OUTCOME_UNKNOWN(4),
        CANCEL(2),
        OUTCOME_QUERY(5),
        OUTCOME_REPLY(4),
        ACKNOWLEDGE(2),
        CHANNEL_MESSAGE(3);

        private final int mFields;

        Type(int fields) {
            mFields = fields;
        }
    }
}
