package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * The response that the caller of one request gets. A response that has started belongs to the
 * attempt that started it; no other attempt can add to it. Confined to the event loop of the
 * caller's connection.
 */
final class CallerResponse {
    private final ResponseWriter mWriter;
    private final Optional<String> mSealField;
    private boolean mStarted;
    private long mSentBytes;
    private AnswerOrigin mOrigin = AnswerOrigin.NONE;

    /**
     * Creates a response of which nothing was sent.
     *
     * @param writer writes to the connection of the caller
     * @param sealField field by which backend servers identify their bodies, in lower case; empty
     *     if there is none
     */
    CallerResponse(ResponseWriter writer, Optional<String> sealField) {
        mWriter = writer;
        mSealField = sealField;
    }

    /** Returns whether the head and a part of the body were sent. */
    boolean hasStarted() {
        return mStarted;
    }

    /** Returns how many bytes of a response in parts were sent. */
    long sentBytes() {
        return mSentBytes;
    }

    /** Returns the attempt that the response comes from. */
    AnswerOrigin origin() {
        return mOrigin;
    }

    /**
     * Sends the head of an attempt's response.
     *
     * @param attempt id of the attempt
     * @param status HTTP status code
     * @param headers header fields of the response
     * @return sends the body, which must come from the same attempt
     * @throws IllegalStateException if a response has started
     */
    Body start(RequestId attempt, int status, List<HeaderField> headers) {
        if (mStarted) {
            throw new IllegalStateException(
                    "attempt "
                            + attempt.format()
                            + " has a response, but that of attempt "
                            + mOrigin.attempt()
                            + " has started");
        }
        mStarted = true;
        mOrigin = AnswerOrigin.of(attempt, status, status, headers, mSealField);
        mWriter.start(status, headers);
        return new Body();
    }

    /** Sends the complete response of an attempt, or the one that replaces it. */
    void sendComplete(RequestId attempt, BufferedResponse received, boolean repeatable) {
        BufferedResponse sent = ExecutedResponse.forCaller(received, repeatable);
        mOrigin =
                AnswerOrigin.of(
                        attempt, received.status(), sent.status(), received.headers(), mSealField);
        mWriter.sendComplete(sent);
    }

    /** Sends a response of this node, because there is none of a backend server. */
    void sendOwn(BufferedResponse response) {
        mWriter.sendComplete(response);
    }

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    void breakOff() {
        mWriter.abort();
    }

    /** Body of the response that has started, for the attempt that started it. */
    final class Body {
        private Body() {}

        /**
         * Sends the next part.
         *
         * @param data bytes of the part
         * @param last whether the response is complete
         * @param sent run once the connection can take more data; never after the last part
         */
        void sendPart(byte[] data, boolean last, Runnable sent) {
            mSentBytes += data.length;
            mWriter.sendPart(data, last, sent);
        }
    }
}
