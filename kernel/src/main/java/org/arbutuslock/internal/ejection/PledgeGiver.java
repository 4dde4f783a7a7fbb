package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/** Answers the pledge requests of other endpoints. */
final class PledgeGiver {
    private final EndpointId mSelf;
    private final long mIncarnation;
    private final EjectionSettings mSettings;
    private final ActionList mActions;
    private final GivenPledges mGiven;
    private long mNowNanos;

    PledgeGiver(EndpointId self, long incarnation, EjectionSettings settings, ActionList actions) {
        mSelf = self;
        mIncarnation = incarnation;
        mSettings = settings;
        mActions = actions;
        mGiven = new GivenPledges(settings.pledgeDuration().toNanos());
    }

    void advance(long nowNanos) {
        mNowNanos = nowNanos;
        mGiven.expire(nowNanos);
    }

    boolean isBound() {
        return mGiven.isBound();
    }

    String describe() {
        return mGiven.describe();
    }

    /** Grants the request unless the caller or this class has a reason to refuse it. */
    void answer(PledgeMessage.Request request, String refusalByState) {
        var requester =
                new GivenPledges.Requester(request.requester(), request.requesterIncarnation());
        String ownRefusal = refusalReason(request, requester);
        String refusal = refusalByState.isEmpty() ? ownRefusal : refusalByState;
        boolean granted = refusal.isEmpty();
        if (granted) {
            mGiven.give(requester, request.number(), mNowNanos);
        }
        mActions.send(
                request.requester(),
                new PledgeMessage.Reply(
                        mSelf,
                        mIncarnation,
                        request.requester(),
                        request.requesterIncarnation(),
                        request.number(),
                        granted,
                        refusal));
    }

    void takeRelease(PledgeMessage.Release release) {
        mGiven.release(
                new GivenPledges.Requester(release.requester(), release.requesterIncarnation()),
                release.number());
    }

    void revokeAll() {
        mGiven.revokeAll(
                (requester, number) ->
                        mActions.send(requester.endpoint(), revocation(requester, number)));
    }

    private PledgeMessage revocation(GivenPledges.Requester requester, long number) {
        return new PledgeMessage.Revoked(
                mSelf, mIncarnation, requester.endpoint(), requester.incarnation(), number);
    }

    private String refusalReason(PledgeMessage.Request request, GivenPledges.Requester requester) {
        EndpointId endpoint = request.requester();
        if (endpoint.equals(mSelf) || !endpoint.service().equals(mSelf.service())) {
            return "not another endpoint of service " + mSelf.service();
        }
        if (request.durationMillis() > mSettings.pledgeDuration().toMillis()) {
            return "duration is longer than " + mSettings.pledgeDuration();
        }
        return mGiven.hasRoomFor(requester) ? "" : "too many pledges given";
    }
}
