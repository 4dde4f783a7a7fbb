package org.arbutuslock.internal.selection;

import org.arbutuslock.api.EndpointId;

/**
 * An endpoint of a service that an entry node can select.
 *
 * @param endpoint the endpoint
 * @param homeNode name of its home node
 * @param distance distance between this node and the endpoint
 * @param weight relative share of requests, 0 to 100; 0 means none
 * @param state whether the endpoint may get new requests
 * @param path statistics of the path to the endpoint; shared with later candidates for it
 */
public record Candidate(
        EndpointId endpoint,
        String homeNode,
        ZoneDistance distance,
        int weight,
        CandidateState state,
        PathStatistics path) {
    boolean isSelectable() {
        return state == CandidateState.IN_SERVICE && weight > 0;
    }
}
