package org.arbutuslock.daemon.internal.home;

import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutuslock.internal.messages.HeaderField;

/** Finds the heads of responses where the decoder does not expect any. */
final class ResponseHeads {
    private static final String VERSION_START = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?!\\d)");
    private static final String LINE_END = "\r\n";

    private ResponseHeads() {}

    /**
     * Returns whether a head contains a second status line. A backend server that breaks off in a
     * head and goes on with its next response leaves such a head: status and first fields belong to
     * one response, the other fields and the body to another.
     *
     * @param response head that the decoder read
     */
    static boolean isJoined(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a text contains the start of a response. */
    static boolean containsStatusLine(String text) {
        return text.contains(VERSION_START) && STATUS_LINE.matcher(text).find();
    }

    /** Creates a matcher that finds the starts of responses in a text. */
    static Matcher findStatusLines(String text) {
        return STATUS_LINE.matcher(text);
    }

    /**
     * Returns where a text ends with the first characters of a status line.
     *
     * @return first index of these characters, or the length of the text if there are none
     */
    static int indexOfOpenStatusLine(String text) {
        Matcher statusLine = STATUS_LINE.matcher(text);
        for (int index = 0; index < text.length(); index++) {
            statusLine.region(index, text.length());
            if (!statusLine.lookingAt() && statusLine.hitEnd()) {
                return index;
            }
        }
        return text.length();
    }

    /**
     * Reads the header fields of a head, or of the part of it that was received.
     *
     * @param head text from the status line on
     * @return fields in whole lines; other lines are left out
     */
    static List<HeaderField> readFields(String head) {
        List<HeaderField> fields = new ArrayList<>();
        int start = head.indexOf(LINE_END);
        int end = start < 0 ? start : head.indexOf(LINE_END, start + 1);
        while (end >= 0) {
            String line = head.substring(start + LINE_END.length(), end);
            int colon = line.indexOf(':');
            if (colon > 0) {
                fields.add(
                        new HeaderField(
                                line.substring(0, colon), line.substring(colon + 1).strip()));
            }
            start = end;
            end = head.indexOf(LINE_END, start + 1);
        }
        return fields;
    }
}
