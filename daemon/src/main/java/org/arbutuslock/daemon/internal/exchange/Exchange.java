package org.arbutuslock.daemon.internal.exchange;

import java.util.Optional;

/** Handle of a submitted request. All methods may be called on any thread. */
public interface Exchange {
    /**
     * Bytes of the response body that the home node may send before it gets more flow control
     * credit.
     */
    int INITIAL_CREDIT_BYTES = 256 * 1024;

    /**
     * Allows the home node to send more of the response body.
     *
     * @param bytes bytes that may be sent in addition
     */
    void grantCredit(int bytes);

    /**
     * Returns where the request was submitted. An empty result after {@link #cancel()} is final:
     * the request was not sent and will not be sent.
     *
     * @return the submission, or empty while no session is open
     */
    default Optional<Submission> submission() {
        return Optional.empty();
    }

    /**
     * Cancels the request, since the response is no longer needed. Work on the request is stopped
     * where that is possible.
     */
    void cancel();
}
