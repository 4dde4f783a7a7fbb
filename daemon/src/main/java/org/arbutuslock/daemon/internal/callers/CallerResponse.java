package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * The response that the caller of one request gets. Records the attempt that it comes from.
 * Confined to the event loop of the caller's connection.
 */
final class CallerResponse {
    private final ResponseWriter mWriter;
    private final Optional<String> mSealField;
    private Optional<SentResponse> mSent = Optional.empty();
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
        return mSent.isPresent();
    }

    /** Returns whether another execution of the request can continue what was sent. */
    boolean isContinuable() {
        return mSent.isPresent() && mSent.get().isContinuable();
    }

    /** Returns the attempt that the response comes from. */
    AnswerOrigin origin() {
        return mOrigin;
    }

    /** Starts to compare another execution with what was sent; empty if its head differs. */
    Optional<SentResponse.Continuation> continueWith(int status, List<HeaderField> headers) {
        return mSent.flatMap(sent -> sent.continueWith(status, headers));
    }

    /** Sends the head of an attempt's response; its body follows in parts. */
    void start(RequestId attempt, int status, List<HeaderField> headers) {
        mSent = Optional.of(new SentResponse(status, headers, mSealField));
        mOrigin = AnswerOrigin.of(attempt, status, status, headers, mSealField);
        mWriter.start(status, headers);
    }

    /**
     * Sends a part of the body. Runs {@code sent} once the connection can take more data; never
     * after the last part.
     */
    void sendPart(byte[] data, boolean last, Runnable sent) {
        mSent.orElseThrow().add(data);
        mWriter.sendPart(data, last, sent);
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
}
