package org.arbutuslock.internal.messages;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.arbutuslock.api.EndpointId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes MessagePack values to a byte array. The methods with a field name check the bounds that
 * {@link MessageReader} checks, so that a value that another node would reject is found by its
 * writer.
 *
 * <pre>{@code
 * byte[] encoded = new MessageWriter().writeArrayHeader(2).writeLong(1).writeString("a").toBytes();
 * }</pre>
 */
public final class MessageWriter {
    private final MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();

    /** Creates an empty writer. */
    public MessageWriter() {}

    /**
     * Starts an array.
     *
     * @param length number of elements that follow
     * @return this writer
     */
    public MessageWriter writeArrayHeader(int length) {
        return call(() -> mPacker.packArrayHeader(length));
    }

    /**
     * Writes a string.
     *
     * @param value the string
     * @return this writer
     */
    public MessageWriter writeString(String value) {
        return writeUtf8(value.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Writes a string of limited length.
     *
     * @param field name of the field for errors
     * @param value the string
     * @param maximumBytes largest number of UTF-8 bytes allowed
     * @return this writer
     * @throws MessageFormatException when the string is too long
     */
    public MessageWriter writeString(String field, String value, int maximumBytes)
            throws MessageFormatException {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        checkRange(field, "length", bytes.length, 0, maximumBytes);
        return writeUtf8(bytes);
    }

    private MessageWriter writeUtf8(byte[] bytes) {
        call(() -> mPacker.packRawStringHeader(bytes.length));
        return call(() -> mPacker.addPayload(bytes));
    }

    /**
     * Writes binary data of limited length.
     *
     * @param field name of the field for errors
     * @param value the data; must not be changed before {@link #toBytes()} is called
     * @param maximumBytes largest number of bytes allowed
     * @return this writer
     * @throws MessageFormatException when the data is too long
     */
    public MessageWriter writeBinary(String field, byte[] value, int maximumBytes)
            throws MessageFormatException {
        checkRange(field, "length", value.length, 0, maximumBytes);
        return writeBinary(value);
    }

    /**
     * Writes an integer within a range.
     *
     * @param field name of the field for errors
     * @param value the integer
     * @param minimum smallest value allowed
     * @param maximum largest value allowed
     * @return this writer
     * @throws MessageFormatException when the integer is outside the range
     */
    public MessageWriter writeLong(String field, long value, long minimum, long maximum)
            throws MessageFormatException {
        checkRange(field, "value", value, minimum, maximum);
        return writeLong(value);
    }

    private void checkRange(String field, String what, long value, long minimum, long maximum)
            throws MessageFormatException {
        if (value < minimum || value > maximum) {
            throw new MessageFormatException(
                    mPacker.getTotalWrittenBytes(),
                    field,
                    what + " " + value + ", allowed " + minimum + " to " + maximum);
        }
    }

    /**
     * Writes binary data.
     *
     * @param value the data; must not be changed before {@link #toBytes()} is called
     * @return this writer
     */
    public MessageWriter writeBinary(byte[] value) {
        call(() -> mPacker.packBinaryHeader(value.length));
        return call(() -> mPacker.addPayload(value));
    }

    /**
     * Writes an integer.
     *
     * @param value the integer
     * @return this writer
     */
    public MessageWriter writeLong(long value) {
        return call(() -> mPacker.packLong(value));
    }

    /**
     * Writes a boolean.
     *
     * @param value the boolean
     * @return this writer
     */
    public MessageWriter writeBoolean(boolean value) {
        return call(() -> mPacker.packBoolean(value));
    }

    /**
     * Writes an enum constant as its ordinal.
     *
     * @param value the constant
     * @return this writer
     */
    public MessageWriter writeEnum(Enum<?> value) {
        return writeLong(value.ordinal());
    }

    /**
     * Writes an endpoint id.
     *
     * @param endpoint the id
     * @return this writer
     */
    public MessageWriter writeEndpoint(EndpointId endpoint) {
        return writeArrayHeader(2)
                .writeString(endpoint.service())
                .writeString(endpoint.backendServer());
    }

    /**
     * Returns the encoding of all values that were written.
     *
     * @return a new array
     */
    public byte[] toBytes() {
        return mPacker.toByteArray();
    }

    private MessageWriter call(PackerCall packerCall) {
        try {
            packerCall.run();
            return this;
        } catch (IOException unexpected) {
            throw new IllegalStateException("writing to a byte array failed", unexpected);
        }
    }

    private interface PackerCall {
        void run() throws IOException;
    }
}
