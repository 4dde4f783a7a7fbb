package org.arbutuslock.internal.membership;

import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EndpointState;

/**
 * What a home node announces about one of its endpoints.
 *
 * @param id the endpoint
 * @param slots requests that the backend server works on at once
 * @param state state decided by the home node
 * @param weightPercent share of work relative to a healthy endpoint, 0 to 100
 */
public record EndpointRecord(EndpointId id, int slots, EndpointState state, int weightPercent) {}
