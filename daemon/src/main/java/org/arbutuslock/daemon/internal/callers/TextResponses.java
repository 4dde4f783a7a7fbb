package org.arbutuslock.daemon.internal.callers;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/** Creates the plain text responses that this node itself sends to callers. */
final class TextResponses {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int REQUEST_TIMEOUT = 408;
    static final int BODY_TOO_LARGE = 413;
    static final int URI_TOO_LONG = 414;
    static final int HEADER_TOO_LARGE = 431;
    static final int BAD_GATEWAY = 502;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;
    static final int HTTP_VERSION_NOT_SUPPORTED = 505;

    private TextResponses() {}

    /** Creates the refusal of a request that was not executed. */
    static BufferedResponse notRun(String detail) {
        return create(
                SERVICE_UNAVAILABLE,
                "not run: " + detail + "\n",
                new HeaderField("arbutuslock-outcome", "not-run"),
                new HeaderField("retry-after", "1"));
    }

    /**
     * Creates the report of an unknown outcome. The reference, with which the caller can query the
     * outcome later, may be empty.
     */
    static BufferedResponse unknown(String detail, String reference) {
        return create(
                GATEWAY_TIMEOUT,
                "outcome unknown: " + detail + "\n",
                new HeaderField("arbutuslock-outcome", "unknown"),
                new HeaderField("arbutuslock-request-id", reference));
    }

    static BufferedResponse create(int status, String text, HeaderField... fields) {
        List<HeaderField> headers = new ArrayList<>(List.of(fields));
        headers.add(new HeaderField("content-type", "text/plain; charset=utf-8"));
        return new BufferedResponse(status, headers, text.getBytes(StandardCharsets.UTF_8));
    }
}
