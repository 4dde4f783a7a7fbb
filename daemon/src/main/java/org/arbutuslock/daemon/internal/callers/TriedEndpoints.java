package org.arbutuslock.daemon.internal.callers;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.internal.membership.FleetSnapshot;

/** Endpoints that one request was submitted to, and what they said. */
final class TriedEndpoints {
    // So many refusals cost a few round trips; more would delay the request for little.
    private static final int SUSPECTS_TO_INSIST = 4;

    private final Set<EndpointId> mTried = new HashSet<>();
    private final Set<EndpointId> mPathFailed = new HashSet<>();
    private final Set<EndpointId> mSuspects = new HashSet<>();
    private boolean mInsisting;

    /** Notes an endpoint that shall not get the request again while others are left. */
    void add(EndpointId endpoint) {
        mTried.add(endpoint);
    }

    /** Notes that only the path to an endpoint failed. */
    void addPathFailure(EndpointId endpoint) {
        mPathFailed.add(endpoint);
    }

    /** Notes that an endpoint refused the request because its backend server is suspect. */
    void addSuspect(EndpointId endpoint) {
        mSuspects.add(endpoint);
        mInsisting |= mSuspects.size() >= SUSPECTS_TO_INSIST;
    }

    /** Tells whether the next endpoint shall execute the request even when it is suspect. */
    boolean isInsisting() {
        return mInsisting;
    }

    /** Prefers endpoints that were not tried, then suspect ones and those whose path failed. */
    Optional<FleetSnapshot.Member> choose(
            EndpointChooser chooser, RouteDefinition route, boolean idempotent) {
        Optional<FleetSnapshot.Member> untried = chooser.choose(route, idempotent, mTried);
        if (untried.isPresent()) {
            return untried;
        }
        // Nobody is left that does not refuse: a suspect endpoint is better than none.
        mInsisting |= !mSuspects.isEmpty();
        boolean retryable = mTried.removeAll(mPathFailed) | mTried.removeAll(mSuspects);
        return retryable ? chooser.choose(route, idempotent, mTried) : Optional.empty();
    }
}
