package org.arbutuslock.internal.messages;

import java.util.List;

/**
 * A complete response that a home node keeps until the entry node acknowledges it.
 *
 * @param status HTTP status code
 * @param headers header fields without those of the connection
 * @param body whole body; must not be changed
 */
public record KeptResponse(int status, List<HeaderField> headers, byte[] body) {
    /** Copies the list of headers. */
    public KeptResponse {
        headers = List.copyOf(headers);
    }
}
