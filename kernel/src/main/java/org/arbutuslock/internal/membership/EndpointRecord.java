package org.arbutuslock.internal.membership;

import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EndpointState;

/**
 * State of an endpoint as announced by its home node.
 *
 * @param id id of the endpoint
 * @param slots number of requests that the backend server processes concurrently
 * @param state state decided by the home node
 * @param weightPercent share of requests relative to a healthy endpoint, in percent, 0 to 100
 */
public record EndpointRecord(EndpointId id, int slots, EndpointState state, int weightPercent) {}
