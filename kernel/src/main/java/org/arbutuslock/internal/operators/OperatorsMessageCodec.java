package org.arbutuslock.internal.operators;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/**
 * Encodes requests of operators and their replies in the MessagePack format. Lists and texts of a
 * reply that exceed a limit are truncated when they are encoded and rejected when they are decoded.
 *
 * <pre>{@code
 * OperatorsMessage same = OperatorsMessageCodec.decode(OperatorsMessageCodec.encode(message));
 * }</pre>
 */
public final class OperatorsMessageCodec {
    /** Limit on the endpoints of one reply; a backend server has one for each of a few services. */
    public static final int MAXIMUM_ENDPOINTS = 64;

    /**
     * Limit on the decisions of one reply; with the longest texts they take 130 KB of a 1 MiB
     * frame.
     */
    public static final int MAXIMUM_DECISIONS = 64;

    /** Limit on the characters of a text; longer texts are truncated. */
    public static final int MAXIMUM_TEXT_CHARACTERS = 500;

    private static final int BYTES_PER_CHARACTER = 3;
    private static final int MAXIMUM_TEXT_BYTES = MAXIMUM_TEXT_CHARACTERS * BYTES_PER_CHARACTER;
    private static final int MAXIMUM_NAME_BYTES = 765;
    private static final int WHOLE_PERCENT = 100;
    private static final int REQUEST_FIELDS = 4;
    private static final int REPLY_FIELDS = 6;
    private static final int ENDPOINT_FIELDS = 5;
    private static final int DECISION_FIELDS = 8;

    /** Types on the wire. They are encoded by ordinal, so their order must not change. */
    private enum Type {
        REQUEST,
        REPLY
    }

    private OperatorsMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message
     */
    public static byte[] encode(OperatorsMessage message) {
        MessageWriter writer = new MessageWriter();
        switch (message) {
            case OperatorsRequest request ->
                    writer.writeArrayHeader(REQUEST_FIELDS)
                            .writeEnum(Type.REQUEST)
                            .writeLong(request.number())
                            .writeEnum(request.action())
                            .writeString(request.backendServer());
            case OperatorsReply reply -> writeReply(writer, reply);
        }
        return writer.toBytes();
    }

    /**
     * Decodes a message.
     *
     * @param encoded payload with exactly one message
     * @return the message
     * @throws MessageFormatException when the payload is malformed, exceeds a limit or has trailing
     *     bytes
     */
    public static OperatorsMessage decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            int fields = reader.readArrayHeader("operatorsMessage", REPLY_FIELDS);
            Type type = reader.readEnum("type", Type.values());
            expectFields(reader, "operatorsMessage", fields, fieldsOf(type));
            OperatorsMessage message =
                    switch (type) {
                        case REQUEST -> readRequest(reader);
                        case REPLY -> readReply(reader);
                    };
            reader.expectEnd();
            return message;
        }
    }

    private static int fieldsOf(Type type) {
        return switch (type) {
            case REQUEST -> REQUEST_FIELDS;
            case REPLY -> REPLY_FIELDS;
        };
    }

    private static void writeReply(MessageWriter writer, OperatorsReply reply) {
        writer.writeArrayHeader(REPLY_FIELDS)
                .writeEnum(Type.REPLY)
                .writeLong(reply.number())
                .writeEnum(reply.outcome())
                .writeString(truncate(reply.reason()));
        List<EndpointRecord> endpoints = firstOf(reply.endpoints(), MAXIMUM_ENDPOINTS);
        writer.writeArrayHeader(endpoints.size());
        for (EndpointRecord endpoint : endpoints) {
            writer.writeArrayHeader(ENDPOINT_FIELDS)
                    .writeString(endpoint.id().service())
                    .writeString(endpoint.id().backendServer())
                    .writeLong(endpoint.slots())
                    .writeEnum(endpoint.state())
                    .writeLong(endpoint.weightPercent());
        }
        var decisions = firstOf(reply.decisions(), MAXIMUM_DECISIONS);
        writer.writeArrayHeader(decisions.size());
        decisions.forEach(decision -> writeDecision(writer, decision));
    }

    private static void writeDecision(
            MessageWriter writer, OperatorsReply.EndpointDecision endpointDecision) {
        EjectionDecision decision = endpointDecision.decision();
        writer.writeArrayHeader(DECISION_FIELDS)
                .writeString(endpointDecision.endpoint().service())
                .writeString(endpointDecision.endpoint().backendServer())
                .writeLong(decision.wallTimeMillis())
                .writeEnum(decision.state())
                .writeLong(decision.weightPercent())
                .writeString(truncate(decision.reason()))
                .writeString(truncate(decision.evidence()))
                .writeLong(decision.repetitions());
    }

    private static OperatorsRequest readRequest(MessageReader reader)
            throws MessageFormatException {
        return new OperatorsRequest(
                reader.readLong("number", 0, Long.MAX_VALUE),
                reader.readEnum("action", OperatorsRequest.Action.values()),
                reader.readString("backendServer", MAXIMUM_NAME_BYTES));
    }

    private static OperatorsReply readReply(MessageReader reader) throws MessageFormatException {
        long number = reader.readLong("number", 0, Long.MAX_VALUE);
        var outcome = reader.readEnum("outcome", OperatorsReply.Outcome.values());
        String reason = reader.readString("reason", MAXIMUM_TEXT_BYTES);
        List<EndpointRecord> endpoints = new ArrayList<>();
        int endpointCount = reader.readArrayHeader("endpoints", MAXIMUM_ENDPOINTS);
        for (int index = 0; index < endpointCount; index++) {
            endpoints.add(readEndpoint(reader));
        }
        List<OperatorsReply.EndpointDecision> decisions = new ArrayList<>();
        int decisionCount = reader.readArrayHeader("decisions", MAXIMUM_DECISIONS);
        for (int index = 0; index < decisionCount; index++) {
            decisions.add(readDecision(reader));
        }
        return new OperatorsReply(number, outcome, reason, endpoints, decisions);
    }

    private static EndpointRecord readEndpoint(MessageReader reader) throws MessageFormatException {
        expectFields(
                reader,
                "endpoint",
                reader.readArrayHeader("endpoint", ENDPOINT_FIELDS),
                ENDPOINT_FIELDS);
        return new EndpointRecord(
                readId(reader),
                reader.readInt("slots", 0, Integer.MAX_VALUE),
                reader.readEnum("state", EndpointState.values()),
                reader.readInt("weightPercent", 0, WHOLE_PERCENT));
    }

    private static OperatorsReply.EndpointDecision readDecision(MessageReader reader)
            throws MessageFormatException {
        expectFields(
                reader,
                "decision",
                reader.readArrayHeader("decision", DECISION_FIELDS),
                DECISION_FIELDS);
        return new OperatorsReply.EndpointDecision(
                readId(reader),
                new EjectionDecision(
                        reader.readLong("wallTimeMillis", 0, Long.MAX_VALUE),
                        reader.readEnum("state", EndpointState.values()),
                        reader.readInt("weightPercent", 0, WHOLE_PERCENT),
                        reader.readString("reason", MAXIMUM_TEXT_BYTES),
                        reader.readString("evidence", MAXIMUM_TEXT_BYTES),
                        reader.readInt("repetitions", 0, Integer.MAX_VALUE)));
    }

    private static EndpointId readId(MessageReader reader) throws MessageFormatException {
        return new EndpointId(
                reader.readString("service", MAXIMUM_NAME_BYTES),
                reader.readString("backendServer", MAXIMUM_NAME_BYTES));
    }

    private static void expectFields(MessageReader reader, String field, int found, int expected)
            throws MessageFormatException {
        if (found != expected) {
            throw reader.formatError(field, found + " fields, allowed " + expected);
        }
    }

    private static String truncate(String text) {
        return text.length() <= MAXIMUM_TEXT_CHARACTERS
                ? text
                : text.substring(0, MAXIMUM_TEXT_CHARACTERS);
    }

    private static <T> List<T> firstOf(List<T> list, int maximum) {
        return list.subList(0, Math.min(list.size(), maximum));
    }
}
