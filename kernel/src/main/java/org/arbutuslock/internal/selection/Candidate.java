package org.arbutuslock.internal.selection;

import org.arbutuslock.api.EndpointId;

/**
 * One endpoint of a service as seen by an entry node.
 *
 * @param endpoint the endpoint
 * @param homeNode name of its home node
 * @param distance distance from this node
 * @param weight 0 to 100; 0 means no requests
 * @param state whether it may get requests
 * @param path statistics of the path, which outlive the candidate
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
