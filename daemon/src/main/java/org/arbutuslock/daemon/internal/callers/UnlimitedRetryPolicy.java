package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.internal.retry.RetryLimiter;

/**
 * Allows every retry, because the home nodes enforce the retry budget with a {@link RetryLimiter}.
 */
public final class UnlimitedRetryPolicy implements RetryPolicy {
    /** Creates the policy. */
    public UnlimitedRetryPolicy() {}

    @Override
    public void recordFirstAttempt(String service) {}

    @Override
    public boolean tryRetry(String service) {
        return true;
    }
}
