package org.arbutuslock.daemon.internal.callers;

/** Limits the retries per service, so that they do not increase an overload. Thread safe. */
public interface RetryPolicy {
    /**
     * Records the first attempt of a request, which enlarges the budget.
     *
     * @param service name of the service
     */
    void recordFirstAttempt(String service);

    /**
     * Takes one retry from the budget of a service.
     *
     * @param service name of the service
     * @return true if the retry was taken; false if the budget is used up
     */
    boolean tryRetry(String service);
}
