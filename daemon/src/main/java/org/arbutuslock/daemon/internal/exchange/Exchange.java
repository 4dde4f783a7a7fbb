package org.arbutuslock.daemon.internal.exchange;

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

    /** Says that the response is no longer wanted. Work that may be stopped is stopped. */
    void cancel();
}
