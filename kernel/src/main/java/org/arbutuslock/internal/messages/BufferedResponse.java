package org.arbutuslock.internal.messages;

import java.util.List;
import org.arbutuslock.internal.execution.KeptResponse;

/**
 * A complete response that is held in memory.
 *
 * @param status HTTP status code
 * @param headers header fields without hop-by-hop fields
 * @param body whole body; is not copied and must not be changed
 */
public record BufferedResponse(int status, List<HeaderField> headers, byte[] body)
        implements KeptResponse {
    private static final int RECORD_BYTES = 64;
    private static final int FIELD_BYTES = 64;

    /** Copies the list of headers. */
    public BufferedResponse {
        headers = List.copyOf(headers);
    }

    @Override
    public int sizeBytes() {
        int size = RECORD_BYTES + body.length;
        for (HeaderField header : headers) {
            size += FIELD_BYTES + header.name().length() + header.value().length();
        }
        return size;
    }
}
