package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Writes the response of one request to the caller. Confined to the event loop of the caller's
 * connection.
 */
interface ResponseWriter {
    /** Sends a complete response. */
    void sendComplete(BufferedResponse response);

    /** Starts a response whose body follows in parts. */
    void start(int status, List<HeaderField> headers);

    /**
     * Sends a part of the body. Runs {@code sent} once the connection can take more data; never
     * after the last part.
     */
    void sendPart(byte[] data, boolean last, Runnable sent);

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    void abort();
}
