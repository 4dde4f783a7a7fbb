package org.arbutuslock.internal.configuration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads MessagePack values. Checks every length and number against its bound before it allocates
 * memory for the value. Errors name the field and the byte position.
 */
final class BoundedUnpacker {
    /** UTF-8 takes up to 3 bytes for each UTF-16 character. */
    private static final int BYTES_PER_CHARACTER = 3;

    /** Java replaces malformed UTF-8 by this character. */
    private static final char REPLACEMENT = '\uFFFD';

    private final MessageUnpacker mUnpacker;
    private final int mLength;

    BoundedUnpacker(byte[] bytes) {
        mUnpacker = MessagePack.newDefaultUnpacker(bytes);
        mLength = bytes.length;
    }

    /** Reads one value; throws when the value has the wrong type or is truncated. */
    private interface ValueReader<T> {
        T read() throws IOException;
    }

    /** Reads the length of an array. */
    int readArray(String field, int minimum, int maximum) throws MalformedConfigurationException {
        int length = read(field, mUnpacker::unpackArrayHeader);
        requireRange(field, length, minimum, maximum);
        // Each element takes at least one byte, so a length above the total size is invalid.
        requireRange(field, length, minimum, mLength);
        return length;
    }

    long readLong(String field, long minimum, long maximum) throws MalformedConfigurationException {
        long value = read(field, mUnpacker::unpackLong);
        requireRange(field, value, minimum, maximum);
        return value;
    }

    int readInt(String field, int minimum, int maximum) throws MalformedConfigurationException {
        return (int) readLong(field, minimum, maximum);
    }

    boolean readBoolean(String field) throws MalformedConfigurationException {
        return read(field, mUnpacker::unpackBoolean);
    }

    long readRawLong(String field) throws MalformedConfigurationException {
        return readLong(field, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    String readString(String field, int maximumCharacters) throws MalformedConfigurationException {
        int bytes = read(field, mUnpacker::unpackRawStringHeader);
        requireRange(field + " length", bytes, 0, maximumCharacters * BYTES_PER_CHARACTER);
        byte[] payload = read(field, () -> mUnpacker.readPayload(bytes));
        String value = new String(payload, StandardCharsets.UTF_8);
        // Accepting replaced bytes would make damaged names valid, and several of them equal.
        if (value.indexOf(REPLACEMENT) >= 0
                && !Arrays.equals(value.getBytes(StandardCharsets.UTF_8), payload)) {
            throw malformed(field, "malformed UTF-8", "text in UTF-8");
        }
        requireRange(field + " length", value.length(), 0, maximumCharacters);
        return value;
    }

    void requireEnd() throws MalformedConfigurationException {
        if (mUnpacker.getTotalReadBytes() != mLength) {
            throw malformed("end", "more bytes", "no bytes after the last field");
        }
    }

    MalformedConfigurationException malformed(String field, String value, String allowed) {
        return new MalformedConfigurationException(
                mUnpacker.getTotalReadBytes(), field, value, allowed);
    }

    private <T> T read(String field, ValueReader<T> reader) throws MalformedConfigurationException {
        try {
            return reader.read();
        } catch (IOException | MessagePackException failure) {
            throw malformed(field, failure.toString(), "a complete value of the field's type");
        }
    }

    private void requireRange(String field, long value, long minimum, long maximum)
            throws MalformedConfigurationException {
        if (value < minimum || value > maximum) {
            throw malformed(field, Long.toString(value), minimum + " to " + maximum);
        }
    }
}
