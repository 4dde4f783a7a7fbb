package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/**
 * Messages between the home nodes of two endpoints of one service. {@code docs/ejection.md}
 * explains why they may be lost, duplicated, late or reordered.
 */
public sealed interface PledgeMessage {
    /**
     * Asks for a pledge or renews one.
     *
     * @param requester endpoint that wants to leave service or to stay out
     * @param requesterIncarnation its incarnation
     * @param number grows with each request of that incarnation
     * @param durationMillis time for which the pledging side is bound
     */
    record Request(
            EndpointId requester, long requesterIncarnation, long number, long durationMillis)
            implements PledgeMessage {}

    /**
     * Grants or refuses a pledge.
     *
     * @param pledger endpoint that was asked
     * @param pledgerIncarnation its incarnation
     * @param requester endpoint that asked
     * @param requesterIncarnation incarnation from the request
     * @param number number from the request
     * @param granted true when the pledging side is bound
     * @param reason why it refused, or empty
     */
    record Reply(
            EndpointId pledger,
            long pledgerIncarnation,
            EndpointId requester,
            long requesterIncarnation,
            long number,
            boolean granted,
            String reason)
            implements PledgeMessage {}

    /**
     * Frees the pledging side from all requests up to a number.
     *
     * @param requester endpoint that no longer relies on the pledges
     * @param requesterIncarnation its incarnation
     * @param number highest number that is released
     */
    record Release(EndpointId requester, long requesterIncarnation, long number)
            implements PledgeMessage {}

    /**
     * Tells the requester that the pledging side must depart and cannot keep its pledge.
     *
     * @param pledger endpoint that departs
     * @param pledgerIncarnation its incarnation
     * @param requester endpoint that relies on the pledge
     * @param requesterIncarnation its incarnation
     * @param number highest number that is revoked
     */
    record Revoked(
            EndpointId pledger,
            long pledgerIncarnation,
            EndpointId requester,
            long requesterIncarnation,
            long number)
            implements PledgeMessage {}
}
