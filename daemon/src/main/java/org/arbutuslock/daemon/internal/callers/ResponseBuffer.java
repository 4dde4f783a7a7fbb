package org.arbutuslock.daemon.internal.callers;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/** Buffers the head and body of a response until it is complete or too large to buffer. */
final class ResponseBuffer {
    private static final int MAXIMUM_BYTES = 64 * 1024;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();

    void setHead(int status, List<HeaderField> headers) {
        mStatus = status;
        mHeaders = headers;
    }

    /** Returns the HTTP status code, or 0 before the head has arrived. */
    int status() {
        return mStatus;
    }

    List<HeaderField> headers() {
        return mHeaders;
    }

    boolean hasHead() {
        return mStatus != 0;
    }

    boolean isServerFailure() {
        return mStatus >= FIRST_SERVER_ERROR;
    }

    boolean isServiceUnavailable() {
        return mStatus == SERVICE_UNAVAILABLE;
    }

    boolean fits(byte[] data) {
        return mBody.size() + data.length <= MAXIMUM_BYTES;
    }

    void append(byte[] data) {
        mBody.writeBytes(data);
    }

    byte[] body() {
        return mBody.toByteArray();
    }

    BufferedResponse toResponse() {
        return new BufferedResponse(mStatus, mHeaders, body());
    }
}
