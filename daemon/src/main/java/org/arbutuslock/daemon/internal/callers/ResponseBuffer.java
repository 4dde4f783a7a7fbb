package org.arbutuslock.daemon.internal.callers;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Buffers the head and body of a backend server's response until it is complete or too large to
 * buffer.
 */
final class ResponseBuffer {
    private static final int MAXIMUM_BYTES = 64 * 1024;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;

    private final boolean mRepeatable;
    private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private long mDroppedBytes;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();

    /**
     * Creates an empty buffer.
     *
     * @param repeatable whether the request may be executed more than once
     */
    ResponseBuffer(boolean repeatable) {
        mRepeatable = repeatable;
    }

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
        return isReplaced() || mBody.size() + data.length <= MAXIMUM_BYTES;
    }

    void append(byte[] data) {
        if (isReplaced()) {
            mDroppedBytes += data.length;
        } else {
            mBody.writeBytes(data);
        }
    }

    /**
     * Returns whether the body of a response that must not reach the caller is longer than a
     * response that is buffered. It may have no end, and its rest changes nothing for the caller.
     */
    boolean hasDroppedLongBody() {
        return mDroppedBytes > MAXIMUM_BYTES;
    }

    /** Returns the buffered part of the body and frees its memory. */
    byte[] takeBody() {
        byte[] body = mBody.toByteArray();
        mBody = new ByteArrayOutputStream();
        return body;
    }

    /**
     * Returns the response as it was received; the body is empty if it must not reach the caller.
     */
    BufferedResponse toResponse() {
        return new BufferedResponse(mStatus, mHeaders, mBody.toByteArray());
    }

    private boolean isReplaced() {
        return ExecutedResponse.isReplaced(mStatus, mRepeatable);
    }
}
