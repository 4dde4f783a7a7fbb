package org.arbutuslock.internal.messages;

/** Reports a malformed message with the field at which decoding stopped. */
public final class MessageFormatException extends Exception {
    /**
     * Creates an exception.
     *
     * @param position offset in bytes within the frame
     * @param field name of the field
     * @param problem what was read and what is allowed
     */
    public MessageFormatException(long position, String field, String problem) {
        super("byte " + position + ", field " + field + ": " + problem);
    }
}
