package org.arbutuslock.daemon.internal.home;

import java.util.List;
import org.arbutuslock.internal.messages.HeaderField;

/** What happens on a connection to a backend server while it works on a request. */
sealed interface BackendEvent {
    /** The response has started. */
    record Head(int status, List<HeaderField> headers) implements BackendEvent {}

    /** Part of the response body; {@code last} when length or chunk end were as announced. */
    record Body(byte[] data, boolean last) implements BackendEvent {}

    /** The backend server did not execute the request and never will. */
    record NotExecuted(boolean otherServer) implements BackendEvent {}

    /** The connection broke or the response is malformed. */
    record Broken(String reason) implements BackendEvent {}
}
