package org.arbutuslock.internal.messages;

/**
 * Thrown when a message is malformed. Gives the position and the field at which decoding stopped.
 */
public final class MessageFormatException extends Exception {
    /**
     * Creates an exception.
     *
     * @param position offset within the encoded message, in bytes
     * @param field name of the malformed field
     * @param problem what was read and what is allowed
     */
    public MessageFormatException(long position, String field, String problem) {
        super("byte " + position + ", field " + field + ": " + problem);
    }
}
