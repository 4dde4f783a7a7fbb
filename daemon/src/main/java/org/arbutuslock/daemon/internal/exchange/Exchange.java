package org.arbutuslock.daemon.internal.exchange;

import java.util.Optional;

/** Handle of a submitted request. All methods may be called from any thread. */
public interface Exchange {
    /** Response bytes that the home node may send before it gets further credit. */
    int INITIAL_CREDIT_BYTES = 256 * 1024;

    /**
     * Allows the home node to send more of the response body.
     *
     * @param bytes additional bytes
     */
    void grantCredit(int bytes);

    /**
     * Returns where the request was submitted. After {@link #cancel()} an empty result is final:
     * nothing was sent and nothing will be.
     *
     * @return the submission, or empty while no session is open
     */
    default Optional<Submission> submission() {
        return Optional.empty();
    }

    /** Says that the response is no longer wanted. Work that may be stopped is stopped. */
    void cancel();
}
