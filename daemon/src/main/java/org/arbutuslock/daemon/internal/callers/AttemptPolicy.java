package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.internal.progress.RequiredHealth;
import org.arbutuslock.internal.progress.SubmissionRequirements;

/**
 * Derives timing and attempt limits from the latency objective of a route.
 *
 * @param route route of the request
 */
record AttemptPolicy(RouteDefinition route) {
    private static final int MAXIMUM_ATTEMPTS = 4;
    // A home node decides within 40 ms whether to queue a request, and callers must learn of a
    // refusal within 50 ms. With a wait at a second home node after a wait at the first, a refusal
    // takes 137 ms at the 99th percentile.
    private static final long LATEST_RETRY_MILLIS = 8;
    // Leaves most of the objective to the endpoint that finally accepts the request.
    private static final double LATEST_RETRY_SHARE = 0.25;

    /** Returns whether the route states a latency objective. */
    boolean hasObjective() {
        return route.policy().targetMillis() < RoutePolicy.DEFAULT.targetMillis();
    }

    /** Returns the milliseconds after which a response that has not started is overdue. */
    int overdueMillis() {
        return requirements(RequiredHealth.ANY, false).overdueMillis();
    }

    /**
     * Returns the maximum number of attempts per request. With an objective it is higher, because
     * suspect endpoints refuse attempts.
     */
    int maximumAttempts() {
        return hasObjective() ? RequestId.MAXIMUM_ATTEMPTS : MAXIMUM_ATTEMPTS;
    }

    /**
     * Returns the time in milliseconds after the start of a request within which it is retried when
     * a home node has no room for it.
     */
    long latestRetryMillis() {
        return hasObjective()
                ? (long) (route.policy().targetMillis() * LATEST_RETRY_SHARE)
                : LATEST_RETRY_MILLIS;
    }

    /** Creates the requirements that one attempt states to its home node. */
    SubmissionRequirements requirements(RequiredHealth health, boolean repetition) {
        return hasObjective()
                ? new SubmissionRequirements(route.policy().targetMillis(), health, repetition)
                : new SubmissionRequirements(Integer.MAX_VALUE, RequiredHealth.ANY, repetition);
    }
}
