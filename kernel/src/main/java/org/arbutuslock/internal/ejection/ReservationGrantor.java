package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/** Answers reservation requests of other endpoints and revokes granted reservations. */
final class ReservationGrantor {
    private final EndpointId mSelf;
    private final long mIncarnation;
    private final EjectionSettings mSettings;
    private final ActionList mActions;
    private final GrantedReservations mGranted;
    private long mNowNanos;

    ReservationGrantor(
            EndpointId self, long incarnation, EjectionSettings settings, ActionList actions) {
        mSelf = self;
        mIncarnation = incarnation;
        mSettings = settings;
        mActions = actions;
        mGranted = new GrantedReservations(settings.reservationDuration().toNanos());
    }

    void advance(long nowNanos) {
        mNowNanos = nowNanos;
        mGranted.expire(nowNanos);
    }

    boolean isBound() {
        return mGranted.isBound();
    }

    String describe() {
        return mGranted.describe();
    }

    /**
     * Replies to a request, and records the reservation when it is granted.
     *
     * @param request the request
     * @param refusalByState reason of the coordinator to refuse any reservation, or empty
     */
    void answer(ReservationMessage.Request request, String refusalByState) {
        var requester =
                new GrantedReservations.Requester(
                        request.requester(), request.requesterIncarnation());
        String ownRefusal = refusalReason(request, requester);
        String refusal = refusalByState.isEmpty() ? ownRefusal : refusalByState;
        boolean granted = refusal.isEmpty();
        if (granted) {
            mGranted.grant(requester, request.number(), mNowNanos);
        }
        mActions.send(
                request.requester(),
                new ReservationMessage.Reply(
                        mSelf,
                        mIncarnation,
                        request.requester(),
                        request.requesterIncarnation(),
                        request.number(),
                        granted,
                        refusal));
    }

    void handleRelease(ReservationMessage.Release release) {
        mGranted.release(
                new GrantedReservations.Requester(
                        release.requester(), release.requesterIncarnation()),
                release.number());
    }

    void revokeAll() {
        mGranted.revokeAll(
                (requester, number) ->
                        mActions.send(requester.endpoint(), revocation(requester, number)));
    }

    private ReservationMessage revocation(GrantedReservations.Requester requester, long number) {
        return new ReservationMessage.Revoked(
                mSelf, mIncarnation, requester.endpoint(), requester.incarnation(), number);
    }

    private String refusalReason(
            ReservationMessage.Request request, GrantedReservations.Requester requester) {
        EndpointId endpoint = request.requester();
        if (endpoint.equals(mSelf) || !endpoint.service().equals(mSelf.service())) {
            return "the requester is not another endpoint of service " + mSelf.service();
        }
        if (request.durationMillis() > mSettings.reservationDuration().toMillis()) {
            return "the requested duration is longer than " + mSettings.reservationDuration();
        }
        return mGranted.hasRoomFor(requester) ? "" : "too many reservations granted";
    }
}
