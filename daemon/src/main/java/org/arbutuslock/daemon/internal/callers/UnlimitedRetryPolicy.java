package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.internal.retry.RetryGate;

/** Allows every retry, because the home nodes enforce the retry budget with a {@link RetryGate}. */
public final class UnlimitedRetryPolicy implements RetryPolicy {
    /** Creates the policy. */
    public UnlimitedRetryPolicy() {}

    @Override
    public void firstAttempt(String service) {}

    @Override
    public boolean allowRetry(String service) {
        return true;
    }
}
