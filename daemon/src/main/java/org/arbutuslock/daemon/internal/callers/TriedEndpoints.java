package org.arbutuslock.daemon.internal.callers;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.arbutuslock.internal.progress.RequiredHealth;

/**
 * Tracks the endpoints that one request was submitted to, why they refused it, and the health that
 * the next endpoint must have.
 */
final class TriedEndpoints {
    // Four refusals cost a few round trips. More would delay the request with little chance of
    // finding a better endpoint.
    private static final int MAXIMUM_SUSPECT_REFUSALS = 4;
    private static final int MAXIMUM_UNPROVEN_REFUSALS = 4;

    private final Set<EndpointId> mTried = new HashSet<>();
    private final Set<EndpointId> mPathFailed = new HashSet<>();
    private final Set<EndpointId> mSuspects = new HashSet<>();
    private final Set<EndpointId> mUnproven = new HashSet<>();
    private RequiredHealth mHealth;
    private boolean mProvenRequired;

    /** Requires a proven endpoint at first if a failed execution cannot be repeated. */
    TriedEndpoints(boolean repeatable) {
        mHealth = repeatable ? RequiredHealth.NOT_SUSPECT : RequiredHealth.PROVEN;
    }

    /**
     * Adds an endpoint that must not get the request again while other endpoints are left. A reason
     * to choose it again must be recorded after this call, because only the last result at an
     * endpoint counts.
     */
    void add(EndpointId endpoint) {
        mTried.add(endpoint);
        mPathFailed.remove(endpoint);
        mSuspects.remove(endpoint);
        mUnproven.remove(endpoint);
    }

    /** Records that the path to an endpoint failed, not the endpoint itself. */
    void addPathFailure(EndpointId endpoint) {
        mPathFailed.add(endpoint);
    }

    /** Records that an endpoint refused the request; only a reason of its health matters. */
    void addRefusal(EndpointId endpoint, RefusalReason reason) {
        switch (reason) {
            case SUSPECT -> addSuspect(endpoint);
            case UNPROVEN -> addUnproven(endpoint);
            default -> {}
        }
    }

    /** Records that an endpoint refused the request because its backend server is suspect. */
    void addSuspect(EndpointId endpoint) {
        mSuspects.add(endpoint);
        if (mHealth == RequiredHealth.PROVEN) {
            acceptUnprovenAfterRefusals();
        } else if (mSuspects.size() >= MAXIMUM_SUSPECT_REFUSALS) {
            mHealth = RequiredHealth.ANY;
        }
    }

    /** Records that an endpoint refused the request because its backend server is not proven. */
    void addUnproven(EndpointId endpoint) {
        mUnproven.add(endpoint);
        acceptUnprovenAfterRefusals();
    }

    private void acceptUnprovenAfterRefusals() {
        if (mUnproven.size() + mSuspects.size() >= MAXIMUM_UNPROVEN_REFUSALS) {
            acceptUnproven();
        }
    }

    /** Prefers a proven endpoint, because the next execution is the last one allowed. */
    void requireProven() {
        if (!mProvenRequired && mHealth == RequiredHealth.NOT_SUSPECT) {
            mHealth = RequiredHealth.PROVEN;
        }
        mProvenRequired = true;
    }

    /** Returns the health that the next endpoint must have to execute the request. */
    RequiredHealth requiredHealth() {
        return mHealth;
    }

    /**
     * Chooses the next endpoint. Prefers endpoints that were not tried, then unproven ones, then
     * suspect and unreachable ones. Returns empty when none is left.
     */
    Optional<FleetSnapshot.Member> choose(
            EndpointChooser chooser, RouteDefinition route, boolean idempotent) {
        Optional<FleetSnapshot.Member> untried = chooser.choose(route, idempotent, mTried);
        if (untried.isEmpty() && acceptUnproven()) {
            untried = chooser.choose(route, idempotent, mTried);
        }
        if (untried.isPresent()) {
            return untried;
        }
        // All other endpoints have refused the request; a suspect endpoint is better than none.
        if (!mSuspects.isEmpty()) {
            mHealth = RequiredHealth.ANY;
        }
        boolean retryable = mTried.removeAll(mPathFailed) | mTried.removeAll(mSuspects);
        return retryable ? chooser.choose(route, idempotent, mTried) : Optional.empty();
    }

    /**
     * Allows unproven endpoints to execute the request. Returns false when no endpoint refused it
     * for being unproven.
     */
    private boolean acceptUnproven() {
        if (mHealth == RequiredHealth.PROVEN) {
            mHealth = RequiredHealth.NOT_SUSPECT;
        }
        boolean retryable = mTried.removeAll(mUnproven);
        mUnproven.clear();
        return retryable;
    }
}
