package org.arbutuslock.daemon.internal.callers;

/** Limits retries per service, so that they do not add to an overload. Any thread. */
public interface RetryPolicy {
    /**
     * Notes a first attempt.
     *
     * @param service name of the service
     */
    void recordFirstAttempt(String service);

    /**
     * Asks for a retry.
     *
     * @param service name of the service
     * @return true when the budget allows it; it is then used up
     */
    boolean tryRetry(String service);
}
