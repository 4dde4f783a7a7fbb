package org.arbutuslock.daemon.internal.callers;

import java.util.Optional;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.exchange.Submission;

/**
 * Identifies a request and the home node that knows its outcome. Callers get it as text. The text
 * contains no address, so that a caller cannot make a node connect to an address of the caller's
 * choice. The address of a parsed submission is empty.
 *
 * <pre>{@code
 * OutcomeReference.parse("calgary-a-1.18f2.2a@calgary-a-2/91/4");
 * }</pre>
 *
 * @param id id of the request
 * @param submission home node, incarnation and session to which the request was submitted
 */
record OutcomeReference(RequestId id, Submission submission) {
    private static final int PARTS = 3;
    private static final int HEXADECIMAL = 16;

    String format() {
        return id.format()
                + "@"
                + submission.node()
                + "/"
                + Long.toHexString(submission.incarnation())
                + "/"
                + Long.toHexString(submission.session());
    }

    static Optional<OutcomeReference> parse(String text) {
        int at = text.indexOf('@');
        if (at < 1) {
            return Optional.empty();
        }
        String[] parts = text.substring(at + 1).split("/", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            Submission submission =
                    new Submission(
                            "",
                            parts[0],
                            Long.parseUnsignedLong(parts[1], HEXADECIMAL),
                            Long.parseUnsignedLong(parts[2], HEXADECIMAL));
            return RequestId.parse(text.substring(0, at))
                    .map(id -> new OutcomeReference(id, submission));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
