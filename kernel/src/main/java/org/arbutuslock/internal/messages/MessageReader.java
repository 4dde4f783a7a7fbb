package org.arbutuslock.internal.messages;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Supplier;
import org.arbutuslock.api.EndpointId;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Reads MessagePack values. Checks every length before it allocates memory, and reports errors with
 * position and field.
 *
 * <pre>{@code
 * MessageReader reader = new MessageReader(frame);
 * int fields = reader.readArrayHeader("message", 16);
 * String node = reader.readString("node", 255);
 * }</pre>
 */
public final class MessageReader implements AutoCloseable {
    private static final int MAXIMUM_NAME_BYTES = 255;

    /** Character by which Java replaces malformed UTF-8 when it decodes a string. */
    private static final char REPLACEMENT = '\uFFFD';

    private final MessageUnpacker mUnpacker;
    private final int mLength;

    /**
     * Creates a reader over one encoded message.
     *
     * @param encoded whole message; must not be changed while it is read
     */
    public MessageReader(byte[] encoded) {
        mUnpacker = MessagePack.newDefaultUnpacker(encoded);
        mLength = encoded.length;
    }

    /**
     * Reads the header of an array.
     *
     * @param field name of the field for errors
     * @param maximum largest number of elements allowed
     * @return number of elements that follow
     * @throws MessageFormatException when the value is not an array or is too long
     */
    public int readArrayHeader(String field, int maximum) throws MessageFormatException {
        expect(field, ValueType.ARRAY);
        int length = call(field, mUnpacker::unpackArrayHeader);
        return checkLength(field, length, maximum);
    }

    /**
     * Reads the header of an array whose length is limited only by the size of the message: each
     * element takes at least one byte.
     *
     * @param field name of the field for errors
     * @return number of elements that follow
     * @throws MessageFormatException when the value is not an array or is longer than the rest of
     *     the message
     */
    public int readArrayHeader(String field) throws MessageFormatException {
        int length = readArrayHeader(field, Integer.MAX_VALUE);
        return checkLength(field, length, (int) (mLength - mUnpacker.getTotalReadBytes()));
    }

    /**
     * Reads a string.
     *
     * @param field name of the field for errors
     * @param maximumBytes largest number of UTF-8 bytes allowed
     * @return the string
     * @throws MessageFormatException when the value is not a string, is not UTF-8 or is too long
     */
    public String readString(String field, int maximumBytes) throws MessageFormatException {
        expect(field, ValueType.STRING);
        int length = call(field, mUnpacker::unpackRawStringHeader);
        checkLength(field, length, maximumBytes);
        byte[] bytes = call(field, () -> mUnpacker.readPayload(length));
        String text = new String(bytes, StandardCharsets.UTF_8);
        // A malformed byte would be replaced by three bytes when the string is forwarded, and other
        // nodes could reject the string as too long.
        if (text.indexOf(REPLACEMENT) >= 0
                && !Arrays.equals(text.getBytes(StandardCharsets.UTF_8), bytes)) {
            throw formatError(field, "the string is not UTF-8");
        }
        return text;
    }

    /**
     * Reads binary data.
     *
     * @param field name of the field for errors
     * @param maximumBytes largest number of bytes allowed
     * @return the data
     * @throws MessageFormatException when the value is not binary data or is too long
     */
    public byte[] readBinary(String field, int maximumBytes) throws MessageFormatException {
        expect(field, ValueType.BINARY);
        int length = call(field, mUnpacker::unpackBinaryHeader);
        checkLength(field, length, maximumBytes);
        return call(field, () -> mUnpacker.readPayload(length));
    }

    /**
     * Reads an integer within a range.
     *
     * @param field name of the field for errors
     * @param minimum smallest value allowed
     * @param maximum largest value allowed
     * @return the value
     * @throws MessageFormatException when the value is not an integer or outside the range
     */
    public long readLong(String field, long minimum, long maximum) throws MessageFormatException {
        expect(field, ValueType.INTEGER);
        long value = call(field, mUnpacker::unpackLong);
        if (value < minimum || value > maximum) {
            throw formatError(field, "read " + value + ", allowed " + minimum + " to " + maximum);
        }
        return value;
    }

    /**
     * Reads an integer within a range.
     *
     * @param field name of the field for errors
     * @param minimum smallest value allowed
     * @param maximum largest value allowed
     * @return the value
     * @throws MessageFormatException when the value is not an integer or outside the range
     */
    public int readInt(String field, int minimum, int maximum) throws MessageFormatException {
        return (int) readLong(field, minimum, maximum);
    }

    /**
     * Reads a boolean.
     *
     * @param field name of the field for errors
     * @return the value
     * @throws MessageFormatException when the value is not a boolean
     */
    public boolean readBoolean(String field) throws MessageFormatException {
        expect(field, ValueType.BOOLEAN);
        return call(field, mUnpacker::unpackBoolean);
    }

    /**
     * Reads an enum constant that was written as its ordinal.
     *
     * @param field name of the field for errors
     * @param constants all constants of the enum, in the order of their declaration
     * @param <T> type of the enum
     * @return the constant
     * @throws MessageFormatException when no constant has that ordinal
     */
    public <T extends Enum<T>> T readEnum(String field, T[] constants)
            throws MessageFormatException {
        return constants[readInt(field, 0, constants.length - 1)];
    }

    /**
     * Reads the header of an array that must have an exact length.
     *
     * @param field name of the field for errors
     * @param expected number of elements that must follow
     * @throws MessageFormatException when the value is not an array of that length
     */
    public void expectArray(String field, int expected) throws MessageFormatException {
        int fields = readArrayHeader(field, Integer.MAX_VALUE);
        if (fields != expected) {
            throw formatError(field, fields + " fields, allowed " + expected);
        }
    }

    /**
     * Reads an endpoint id.
     *
     * @param field name of the field for errors
     * @return the id
     * @throws MessageFormatException when the value is not an endpoint id
     */
    public EndpointId readEndpoint(String field) throws MessageFormatException {
        expectArray(field, 2);
        return new EndpointId(
                readString("service", MAXIMUM_NAME_BYTES),
                readString("backendServer", MAXIMUM_NAME_BYTES));
    }

    /**
     * Checks that the whole message was read.
     *
     * @throws MessageFormatException when further bytes follow
     */
    public void expectEnd() throws MessageFormatException {
        if (call("end", mUnpacker::hasNext)) {
            throw formatError("end", "bytes follow the message");
        }
    }

    /**
     * Creates an exception with the current position.
     *
     * @param field name of the malformed field
     * @param problem what was read and what is allowed
     * @return the exception, which the caller of this method throws
     */
    public MessageFormatException formatError(String field, String problem) {
        return new MessageFormatException(mUnpacker.getTotalReadBytes(), field, problem);
    }

    @Override
    public void close() {
        try {
            mUnpacker.close();
        } catch (IOException unexpected) {
            throw new IllegalStateException("closing a reader of a byte array failed", unexpected);
        }
    }

    private void expect(String field, ValueType expected) throws MessageFormatException {
        // getValueType throws for 0xc1, the one format byte that MessagePack does not use.
        ValueType actual = call(field, () -> mUnpacker.getNextFormat().getValueType());
        if (actual != expected) {
            throw formatError(field, "read " + actual + ", allowed " + expected);
        }
    }

    private int checkLength(String field, int length, int maximum) throws MessageFormatException {
        if (length > maximum) {
            throw formatError(field, "length " + length + ", allowed 0 to " + maximum);
        }
        return length;
    }

    private <T> T call(String field, UnpackerCall<T> unpackerCall) throws MessageFormatException {
        try {
            return unpackerCall.run();
        } catch (IOException | MessagePackException malformed) {
            throw formatError(
                    field,
                    describe(malformed, () -> "the message ends before the end of the value"));
        }
    }

    private static String describe(Exception malformed, Supplier<String> fallback) {
        return malformed.getMessage() == null ? fallback.get() : malformed.getMessage();
    }

    private interface UnpackerCall<T> {
        T run() throws IOException;
    }
}
