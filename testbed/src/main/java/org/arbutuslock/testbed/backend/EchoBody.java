package org.arbutuslock.testbed.backend;

import java.nio.charset.StandardCharsets;

/**
 * Builds and checks response bodies from which a mixed-up, wrong or truncated response is
 * recognized. A body repeats method, URI and body of its request; a long body continues with a
 * pattern.
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
     * Builds the part that repeats the request. It is the whole body of short work.
     *
     * @param method method of the request
     * @param uri path and query of the request
     * @param requestBody body of the request
     * @return bytes
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
     * Returns the pattern after the head.
     *
     * @param position offset in the whole body
     * @return byte at that offset
     */
    public static byte patternAt(int position) {
        return (byte) (position % PATTERN_PERIOD);
    }

    /**
     * Checks a whole response body.
     *
     * @param body body as received
     * @param method method of the request
     * @param uri path and query of the request
     * @param requestBody body of the request
     * @return true when the body is the response to this request
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
