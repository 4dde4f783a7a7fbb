package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/** Answers the pledge requests of other endpoints. */
final class PledgeGranter {
    private final EndpointId mSelf;
    private final long mIncarnation;
    private final EjectionSettings mSettings;
    private final ActionList mActions;
    private final GrantedPledges mGranted;
    private long mNowNanos;

    PledgeGranter(
            EndpointId self, long incarnation, EjectionSettings settings, ActionList actions) {
        mSelf = self;
        mIncarnation = incarnation;
        mSettings = settings;
        mActions = actions;
        mGranted = new GrantedPledges(settings.pledgeDuration().toNanos());
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

    /** Grants the request unless the caller or this class has a reason to refuse it. */
    void answer(PledgeMessage.Request request, String refusalByState) {
        var requester =
                new GrantedPledges.Requester(request.requester(), request.requesterIncarnation());
        String ownRefusal = refusalReason(request, requester);
        String refusal = refusalByState.isEmpty() ? ownRefusal : refusalByState;
        boolean granted = refusal.isEmpty();
        if (granted) {
            mGranted.grant(requester, request.number(), mNowNanos);
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

    void handleRelease(PledgeMessage.Release release) {
        mGranted.release(
                new GrantedPledges.Requester(release.requester(), release.requesterIncarnation()),
                release.number());
    }

    void revokeAll() {
        mGranted.revokeAll(
                (requester, number) ->
                        mActions.send(requester.endpoint(), revocation(requester, number)));
    }

    private PledgeMessage revocation(GrantedPledges.Requester requester, long number) {
        return new PledgeMessage.Revoked(
                mSelf, mIncarnation, requester.endpoint(), requester.incarnation(), number);
    }

    private String refusalReason(
            PledgeMessage.Request request, GrantedPledges.Requester requester) {
        EndpointId endpoint = request.requester();
        if (endpoint.equals(mSelf) || !endpoint.service().equals(mSelf.service())) {
            return "not another endpoint of service " + mSelf.service();
        }
        if (request.durationMillis() > mSettings.pledgeDuration().toMillis()) {
            return "duration is longer than " + mSettings.pledgeDuration();
        }
        return mGranted.hasRoomFor(requester) ? "" : "too many pledges given";
    }
}
