package org.arbutuslock.testbed.backend;

import java.nio.charset.StandardCharsets;

/**
 * Builds and checks response bodies that allow a test to detect swapped, wrong and truncated
 * responses. A body repeats the method, the URI and the body of its request. A long body continues
 * with a byte pattern.
 *
 * <pre>{@code
 * byte[] head = EchoBody.head("GET", "/price?item=7", new byte[0]);
 * boolean own = EchoBody.matches(responseBody, "GET", "/price?item=7", new byte[0]);
 * }</pre>
 */
public final class EchoBody {
    private static final int PATTERN_PERIOD = 251;

    private EchoBody() {}

    /**
     * Builds the part that repeats the request. The response body of short work consists of this
     * part only.
     *
     * @param method method of the request
     * @param uri path and query of the request
     * @param requestBody body of the request
     * @return method, URI and body length in one line, then the request body
     */
    public static byte[] head(String method, String uri, byte[] requestBody) {
        byte[] line =
                (method + " " + uri + " " + requestBody.length + "\n")
                        .getBytes(StandardCharsets.UTF_8);
        byte[] head = new byte[line.length + requestBody.length];
        System.arraycopy(line, 0, head, 0, line.length);
        System.arraycopy(requestBody, 0, head, line.length, requestBody.length);
        return head;
    }

    /**
     * Returns a byte of the pattern that follows the head.
     *
     * @param position offset from the start of the whole body
     * @return byte at that offset
     */
    public static byte patternAt(int position) {
        return (byte) (position % PATTERN_PERIOD);
    }

    /**
     * Checks whether a response body belongs to a request. Does not check the length of a long
     * body: a body that is cut off within the pattern also matches.
     *
     * @param body complete response body
     * @param method method of the request
     * @param uri path and query of the request
     * @param requestBody body of the request
     * @return true when the body repeats this request and continues with the pattern
     */
    public static boolean matches(byte[] body, String method, String uri, byte[] requestBody) {
        byte[] head = head(method, uri, requestBody);
        if (body.length < head.length) {
            return false;
        }
        for (int position = 0; position < body.length; position++) {
            byte expected = position < head.length ? head[position] : patternAt(position);
            if (body[position] != expected) {
                return false;
            }
        }
        return true;
    }
}
