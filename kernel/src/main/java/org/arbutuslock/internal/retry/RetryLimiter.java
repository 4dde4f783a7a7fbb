package org.arbutuslock.internal.retry;

/** Decides at a home node whether a retry may be sent to its backend server. */
public sealed interface RetryLimiter permits RetryLimiter.Unlimited, EndpointRetryLimiter {
    /** Counts a request that is sent to a backend server for the first time. */
    void recordFirstAttempt();

    /**
     * Takes one retry from the budget. A retry is a request of which an earlier attempt may have
     * reached a backend server.
     *
     * @return true when the retry may be sent; it then counts against the budget
     */
    boolean tryRetry();

    /** Allows every retry. Used where the entry nodes keep the retry budget. */
    record Unlimited() implements RetryLimiter {
        @Override
        public void recordFirstAttempt() {}

        @Override
        public boolean tryRetry() {
            return true;
        }
    }
}
