package org.arbutuslock.internal.messages;

import java.util.function.LongFunction;

/**
 * Message types with their number of array elements, including the type itself, and with what the
 * first field identifies. The ordinal is part of the wire format: new types are added at the end.
 */
enum MessageType {
    HELLO(7, number -> new MessageSubject.Handshake()),
    HELLO_REPLY(7, number -> new MessageSubject.Handshake()),
    HEARTBEAT(2, number -> new MessageSubject.Other()),
    HEARTBEAT_REPLY(2, number -> new MessageSubject.Other()),
    SUBMIT(14, MessageSubject.Submission::new),
    REQUEST_BODY(4, MessageSubject.Stream::new),
    CREDIT(3, MessageSubject.Stream::new),
    RESPONSE_HEAD(5, MessageSubject.Stream::new),
    RESPONSE_BODY(5, MessageSubject.Stream::new),
    REFUSAL(5, MessageSubject.Stream::new),
    OUTCOME_UNKNOWN(4, MessageSubject.Stream::new),
    CANCEL(2, MessageSubject.Stream::new),
    OUTCOME_QUERY(5, MessageSubject.Query::new),
    OUTCOME_REPLY(4, MessageSubject.Query::new),
    ACKNOWLEDGE(2, number -> new MessageSubject.Other()),
    CHANNEL_MESSAGE(3, number -> new MessageSubject.Other());

    private final int mFieldCount;
    private final LongFunction<MessageSubject> mSubject;

    MessageType(int fieldCount, LongFunction<MessageSubject> subject) {
        mFieldCount = fieldCount;
        mSubject = subject;
    }

    int fieldCount() {
        return mFieldCount;
    }

    /** Returns the subject of a message of this type. */
    MessageSubject subject(long firstField) {
        return mSubject.apply(firstField);
    }
}
