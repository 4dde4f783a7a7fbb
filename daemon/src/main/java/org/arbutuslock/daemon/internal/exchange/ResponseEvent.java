package org.arbutuslock.daemon.internal.exchange;

import java.util.List;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.selection.LoadReport;

/** Event in the processing of a submitted request. */
public sealed interface ResponseEvent {
    /**
     * The response has started.
     *
     * @param status HTTP status code
     * @param headers header fields without hop-by-hop fields
     * @param load load of the endpoint
     */
    record Head(int status, List<HeaderField> headers, LoadReport load) implements ResponseEvent {}

    /**
     * Part of the response body.
     *
     * @param data bytes of this part
     * @param last true when the response is complete
     */
    record Body(byte[] data, boolean last) implements ResponseEvent {}

    /**
     * The request was not executed and never will be.
     *
     * @param reason reason for the refusal
     * @param detail explanation for operators
     * @param load load of the endpoint
     */
    record Refused(RefusalReason reason, String detail, LoadReport load) implements ResponseEvent {}

    /**
     * The request was dispatched, but its response cannot be completed.
     *
     * @param detail explanation for operators
     * @param load load of the endpoint
     */
    record OutcomeUnknown(String detail, LoadReport load) implements ResponseEvent {}

    /**
     * The session failed or stopped responding, or a message of the response was lost on it. The
     * outcome must be queried at the home node.
     *
     * @param submission where the request was submitted
     * @param detail explanation for operators
     */
    record SessionLost(Submission submission, String detail) implements ResponseEvent {}
}
