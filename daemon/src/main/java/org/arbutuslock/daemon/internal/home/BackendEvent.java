package org.arbutuslock.daemon.internal.home;

import java.util.List;
import org.arbutuslock.internal.messages.HeaderField;

/** Event of the one request in progress on a {@link BackendConnection}. */
sealed interface BackendEvent {
    /** The head of the response has arrived. */
    record Head(int status, List<HeaderField> headers) implements BackendEvent {}

    /** Part of the response body; {@code last} when the body is complete by length or chunk end. */
    record Body(byte[] data, boolean last) implements BackendEvent {}

    /**
     * The backend server did not execute the request and never will; {@code otherServer} when
     * another backend server uses the address now.
     */
    record NotExecuted(boolean otherServer) implements BackendEvent {}

    /** The connection failed or the response is malformed; the outcome is unknown. */
    record Broken(String reason) implements BackendEvent {}
}
