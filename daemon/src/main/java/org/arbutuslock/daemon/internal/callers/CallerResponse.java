package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import org.arbutuslock.internal.messages.BufferedResponse;
import org.arbutuslock.internal.messages.HeaderField;

/** Where a request writes its response. Confined to the event loop of the caller's connection. */
interface CallerResponse {
    /** Sends a complete response. */
    void sendWhole(BufferedResponse response);

    /** Starts a response whose body follows in parts. */
    void start(int status, List<HeaderField> headers);

    /** Sends a part of the body; {@code sent} runs when the caller's connection has taken it. */
    void sendPart(byte[] data, boolean last, Runnable sent);

    /** Closes the connection, so that the caller sees that the response is incomplete. */
    void abort();
}
