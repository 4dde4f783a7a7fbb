package org.arbutuslock.daemon.internal.home;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds heads of responses that cannot be read, and heads where the decoder expects none. */
final class ResponseHeads {
    private static final String VERSION_START = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?!\\d)");

    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int RESET_CONTENT = 205;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 999;

    private ResponseHeads() {}

    /** Returns why a response with this status cannot be read; empty if it can. */
    static Optional<String> findStatusFault(HttpResponse response) {
        int status = response.status().code();
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean ends = status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
        if (status == SWITCHING_PROTOCOLS || !interim && !ends) {
            return Optional.of("status " + status + " ends no request");
        }
        // The codec neither reads nor writes a body with this status.
        return status == RESET_CONTENT && hasBody(response)
                ? Optional.of("status " + status + " with a body")
                : Optional.empty();
    }

    private static boolean hasBody(HttpResponse response) {
        return HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.getContentLength(response, 0L) > 0;
    }

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
