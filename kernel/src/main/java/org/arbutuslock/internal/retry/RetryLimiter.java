package org.arbutuslock.internal.retry;

/** Decides at a home node whether a repeated request may reach its backend server. */
public sealed interface RetryLimiter permits RetryLimiter.Unlimited, EndpointRetryLimiter {
    /** Notes a request that reaches the backend server for the first time. */
    void recordFirstAttempt();

    /**
     * Asks for a request of which an earlier submission may have reached a backend server.
     *
     * @return true when it may be sent; the budget is then used up by one
     */
    boolean tryRetry();

    /** Allows everything, because the entry nodes keep the budget. */
    record Unlimited() implements RetryLimiter {
        @Override
        public void recordFirstAttempt() {}

        @Override
        public boolean tryRetry() {
            return true;
        }
    }
}
