package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/**
 * A message between the home nodes of two endpoints of one service. With a reservation, the grantor
 * promises to stay in service for a limited time, so that the requester may leave. Messages may be
 * lost, duplicated, delayed or reordered; {@code docs/ejection.md} shows why the protocol tolerates
 * this.
 */
public sealed interface ReservationMessage {
    /**
     * Requests a reservation or renews one.
     *
     * @param requester endpoint that will leave service or stay out of service
     * @param requesterIncarnation incarnation of the requester
     * @param number increases with each round of requests of that incarnation
     * @param durationMillis time for which the reservation binds the grantor, in milliseconds
     */
    record Request(
            EndpointId requester, long requesterIncarnation, long number, long durationMillis)
            implements ReservationMessage {}

    /**
     * Grants or refuses a reservation.
     *
     * @param grantor endpoint that received the request
     * @param grantorIncarnation incarnation of the grantor
     * @param requester endpoint that sent the request
     * @param requesterIncarnation incarnation from the request
     * @param number number from the request
     * @param granted true when the reservation is granted and binds the grantor
     * @param reason why the reservation was refused, or empty when it was granted
     */
    record Reply(
            EndpointId grantor,
            long grantorIncarnation,
            EndpointId requester,
            long requesterIncarnation,
            long number,
            boolean granted,
            String reason)
            implements ReservationMessage {}

    /**
     * Releases the grantor from all requests up to a number.
     *
     * @param requester endpoint that no longer relies on the reservations
     * @param requesterIncarnation incarnation of the requester
     * @param number highest request number that is released
     */
    record Release(EndpointId requester, long requesterIncarnation, long number)
            implements ReservationMessage {}

    /**
     * Informs the requester that the grantor departs and revokes its reservation.
     *
     * @param grantor endpoint that departs
     * @param grantorIncarnation incarnation of the grantor
     * @param requester endpoint that relies on the reservation
     * @param requesterIncarnation incarnation of the requester
     * @param number highest request number that is revoked
     */
    record Revoked(
            EndpointId grantor,
            long grantorIncarnation,
            EndpointId requester,
            long requesterIncarnation,
            long number)
            implements ReservationMessage {}
}
