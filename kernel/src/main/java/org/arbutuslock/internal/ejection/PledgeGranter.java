package org.arbutuslock.internal.ejection;

import org.arbutuslock.api.EndpointId;

/** Answers pledge requests of other endpoints and revokes granted pledges. */
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

    /**
     * Replies to a request, and records the pledge when it is granted.
     *
     * @param request the request
     * @param refusalByState reason of the coordinator to refuse any pledge, or empty
     */
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
            return "the requester is not another endpoint of service " + mSelf.service();
        }
        if (request.durationMillis() > mSettings.pledgeDuration().toMillis()) {
            return "the requested duration is longer than " + mSettings.pledgeDuration();
        }
        return mGranted.hasRoomFor(requester) ? "" : "too many pledges granted";
    }
}
