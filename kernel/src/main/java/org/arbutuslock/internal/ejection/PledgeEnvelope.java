package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/**
 * A pledge message on its way to the home node of an endpoint.
 *
 * @param destination endpoint that the message is for
 * @param message the message
 */
public record PledgeEnvelope(EndpointId destination, PledgeMessage message) {}
