package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/**
 * An action that the home node must carry out for the {@link EjectionCoordinator}. Actions must be
 * carried out in the order of the returned list.
 */
public sealed interface EjectionAction {
    /**
     * Sends a message to the home node of another endpoint.
     *
     * @param destination endpoint whose home node receives the message
     * @param message message to send
     */
    record Send(EndpointId destination, ReservationMessage message) implements EjectionAction {}

    /**
     * Changes the published state or weight of the local endpoint.
     *
     * @param previous state before the change
     * @param state state after the change
     * @param weightPercent share of its full load that the endpoint receives, 0 to 100
     * @param reason why the state or weight changes, as text for operators
     * @param evidence measurements on which the reason is based, or empty
     */
    record ChangeState(
            EndpointState previous,
            EndpointState state,
            int weightPercent,
            String reason,
            String evidence)
            implements EjectionAction {}
}
