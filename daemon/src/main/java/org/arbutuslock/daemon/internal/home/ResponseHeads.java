package org.arbutuslock.daemon.internal.home;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the heads of responses where the decoder does not expect any. */
final class ResponseHeads {
    private static final String VERSION_START = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?!\\d)");

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
}
