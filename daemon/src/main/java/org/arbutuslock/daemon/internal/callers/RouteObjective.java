package org.arbutuslock.daemon.internal.callers;

import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.RoutePolicy;
import org.arbutuslock.internal.progress.RequiredHealth;
import org.arbutuslock.internal.progress.SubmissionRequirements;

/**
 * What the objective of a route means for the submissions of one request.
 *
 * @param route route of the request
 */
record RouteObjective(RouteDefinition route) {
    private static final int MAXIMUM_ATTEMPTS = 4;
    // A home node decides within 40 ms whether a request waits, and callers are told of a refusal
    // within 50 ms. A second wait after a first one took 137 ms at the 99th percentile.
    private static final long LATEST_RETRY_MILLIS = 8;
    // Leaves most of the objective to the endpoint that takes the request in the end.
    private static final double LATEST_RETRY_SHARE = 0.25;

    /** Tells whether the route states an objective. */
    boolean isStated() {
        return route.policy().targetMillis() < RoutePolicy.DEFAULT.targetMillis();
    }

    /** Returns when a response that has not started is overdue. */
    int overdueMillis() {
        return expectation(RequiredHealth.ANY, false).overdueMillis();
    }

    /** Returns the most submissions; going round suspect endpoints takes more of them. */
    int mostAttempts() {
        return isStated() ? RequestId.MAXIMUM_ATTEMPTS : MAXIMUM_ATTEMPTS;
    }

    /** Returns how long after its start a request that an endpoint has no room for goes on. */
    long latestRetryMillis() {
        return isStated()
                ? (long) (route.policy().targetMillis() * LATEST_RETRY_SHARE)
                : LATEST_RETRY_MILLIS;
    }

    /** Describes one submission to its home node. */
    SubmissionRequirements expectation(RequiredHealth health, boolean repetition) {
        return isStated()
                ? new SubmissionRequirements(route.policy().targetMillis(), health, repetition)
                : new SubmissionRequirements(Integer.MAX_VALUE, RequiredHealth.ANY, repetition);
    }
}
