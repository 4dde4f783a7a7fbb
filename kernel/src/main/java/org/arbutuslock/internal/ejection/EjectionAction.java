package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/** What the home node must do, in the order of the returned list. */
public sealed interface EjectionAction {
    /**
     * Send a message to the home node of another endpoint.
     *
     * @param destination endpoint whose home node gets the message
     * @param message what to send
     */
    record Send(EndpointId destination, PledgeMessage message) implements EjectionAction {}

    /**
     * Change the published state or weight of the local endpoint.
     *
     * @param previous state before
     * @param state state from now on
     * @param weightPercent share of its usual work that it takes, 0 to 100
     * @param reason why
     * @param evidence figures behind the reason, or empty
     */
    record ChangeState(
            EndpointState previous,
            EndpointState state,
            int weightPercent,
            String reason,
            String evidence)
            implements EjectionAction {}
}
