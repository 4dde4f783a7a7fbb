package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.internal.retry.RetryLimiter;

/** Allows every retry, since the home nodes keep the budget with a {@link RetryLimiter}. */
public final class HomeRetryPolicy implements RetryPolicy {
    /** Creates the policy. */
    public HomeRetryPolicy() {}

    @Override
    public void recordFirstAttempt(String service) {}

    @Override
    public boolean tryRetry(String service) {
        return true;
    }
}
