package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/**
 * A reservation message with its addressing, as sent to the home node of an endpoint.
 *
 * @param destination endpoint whose home node receives the message
 * @param message the message
 */
public record ReservationEnvelope(EndpointId destination, ReservationMessage message) {}
