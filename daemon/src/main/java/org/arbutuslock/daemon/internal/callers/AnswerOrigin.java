package org.arbutuslock.daemon.internal.callers;

import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.internal.messages.HeaderField;

/**
 * Names the attempt whose response a caller got.
 *
 * @param attempt formatted id of the attempt, as in the log of its home node
 * @param receivedStatus HTTP status code that the backend server sent
 * @param sentStatus HTTP status code that was written to the caller
 * @param seal value of the field by which the backend server identifies the body, or an empty
 *     string
 */
record AnswerOrigin(String attempt, int receivedStatus, int sentStatus, String seal) {
    /** Origin of the response to a request that got none of a backend server. */
    static final AnswerOrigin NONE = new AnswerOrigin("", 0, 0, "");

    /**
     * Describes a response that is about to be written.
     *
     * @param attempt id of the attempt
     * @param receivedStatus HTTP status code that the backend server sent
     * @param sentStatus HTTP status code that is written to the caller
     * @param headers header fields that the backend server sent
     * @param sealField field by which backend servers identify their bodies; empty if there is none
     */
    static AnswerOrigin of(
            RequestId attempt,
            int receivedStatus,
            int sentStatus,
            List<HeaderField> headers,
            Optional<String> sealField) {
        String seal = sealField.map(name -> HeaderField.find(headers, name)).orElse("");
        return new AnswerOrigin(attempt.format(), receivedStatus, sentStatus, seal);
    }
}
