package org.arbutuslock.internal.messages;

/**
 * What a message between nodes is about. Limits the effect of a message that cannot be processed to
 * the one exchange that it belongs to.
 */
public sealed interface MessageSubject {
    /** The session itself, which cannot be used without its handshake. */
    record Handshake() implements MessageSubject {}

    /**
     * A request that is being submitted.
     *
     * @param stream stream number of the request
     */
    record Submission(long stream) implements MessageSubject {}

    /**
     * A request that was submitted before.
     *
     * @param stream stream number of the request
     */
    record Stream(long stream) implements MessageSubject {}

    /**
     * A query for the outcome of a request.
     *
     * @param query number of the query
     */
    record Query(long query) implements MessageSubject {}

    /** Nothing that waits for this message. */
    record Other() implements MessageSubject {}

    /**
     * Reads the subject of a message that cannot be decoded.
     *
     * @param encoded encoded message, without the length prefix of a frame
     * @return the subject, or {@link Other} when not even the first two values can be read
     */
    static MessageSubject of(byte[] encoded) {
        try (MessageReader reader = new MessageReader(encoded)) {
            reader.readArrayHeader("message", Integer.MAX_VALUE);
            MessageType type = reader.readEnum("type", MessageType.values());
            return type.subject(reader.readLong("number", 0, Long.MAX_VALUE));
        } catch (MessageFormatException unreadable) {
            // HELLO has a name where other types have a number.
            return new Other();
        }
    }

    /**
     * Returns the subject of a message.
     *
     * @param message the message
     * @return its subject
     */
    static MessageSubject of(PeerMessage message) {
        return switch (message) {
            case PeerMessage.Hello hello -> new Handshake();
            case PeerMessage.HelloReply reply -> new Handshake();
            case PeerMessage.Submit submit -> new Submission(submit.stream());
            case PeerMessage.RequestBody part -> new Stream(part.stream());
            case PeerMessage.Credit credit -> new Stream(credit.stream());
            case PeerMessage.ResponseHead head -> new Stream(head.stream());
            case PeerMessage.ResponseBody part -> new Stream(part.stream());
            case PeerMessage.Refusal refusal -> new Stream(refusal.stream());
            case PeerMessage.OutcomeUnknown unknown -> new Stream(unknown.stream());
            case PeerMessage.Cancel cancel -> new Stream(cancel.stream());
            case PeerMessage.OutcomeQuery query -> new Query(query.query());
            case PeerMessage.OutcomeReply reply -> new Query(reply.query());
            case PeerMessage.Heartbeat heartbeat -> new Other();
            case PeerMessage.HeartbeatReply reply -> new Other();
            case PeerMessage.Acknowledge acknowledge -> new Other();
            case PeerMessage.ChannelMessage channelMessage -> new Other();
        };
    }
}
