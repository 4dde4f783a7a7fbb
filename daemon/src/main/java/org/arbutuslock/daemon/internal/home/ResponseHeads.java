package org.arbutuslock.daemon.internal.home;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/** Detects response heads that the decoder joined from two responses of a connection. */
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
}
