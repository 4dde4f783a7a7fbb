package org.arbutuslock.internal.settings;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;

/** Decodes a UTF-8 file and reports the position of the first malformed byte. */
final class Utf8Text {
    private Utf8Text() {}

    /** Returns the text, or null after a malformed byte was reported. */
    static String decode(byte[] bytes, ProblemCollector problems) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        // UTF-8 needs at least one byte for each UTF-16 code unit, so this capacity suffices.
        CharBuffer decoded = CharBuffer.allocate(bytes.length);
        boolean malformed = decoder.decode(ByteBuffer.wrap(bytes), decoded, true).isError();
        String text = decoded.flip().toString();
        if (!malformed) {
            return text;
        }
        int line = 1 + (int) text.chars().filter(character -> character == '\n').count();
        int column = text.length() - text.lastIndexOf('\n');
        problems.add(
                line,
                column,
                "",
                "",
                "the file is not UTF-8 at this position; convert it to UTF-8");
        return null;
    }
}
