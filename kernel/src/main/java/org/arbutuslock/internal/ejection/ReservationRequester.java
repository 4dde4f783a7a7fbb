package org.arbutuslock.internal.ejection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.EndpointId;

/** Requests reservations from the other endpoints of the service, renews and releases them. */
final class ReservationRequester {
    /**
     * Time before the expiry of a reservation from which it no longer counts towards the floor, so
     * that the endpoint returns to service before the expiry.
     */
    private static final long RETURN_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time for which a revoked reservation still counts while a replacement is requested. */
    private static final long REVOCATION_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Reservations held in addition to the floor, so that the loss of one does not force a return.
     */
    private static final int SPARE_RESERVATIONS = 1;

    private final EndpointId mSelf;
    private final long mIncarnation;
    private final EjectionSettings mSettings;
    private final RandomGenerator mRandom;
    private final ActionList mActions;
    private final HeldReservations mHeld;

    private Set<EndpointId> mOthers = Set.of();
    private int mFloor = Integer.MAX_VALUE;
    private long mNowNanos;
    private long mRenewalNanos;

    ReservationRequester(
            EndpointId self,
            long incarnation,
            EjectionSettings settings,
            RandomGenerator random,
            ActionList actions) {
        mSelf = self;
        mIncarnation = incarnation;
        mSettings = settings;
        mRandom = random;
        mActions = actions;
        // Random, so that late replies to an earlier coordinator of this endpoint do not match.
        long firstNumber = random.nextLong(Long.MAX_VALUE / 2);
        mHeld = new HeldReservations(settings.countedDuration().toNanos(), firstNumber);
    }

    void advance(long nowNanos) {
        mNowNanos = nowNanos;
        mHeld.expire(nowNanos);
    }

    void updateService(Collection<EndpointId> others, int floor) {
        mOthers = new TreeSet<>(others);
        mOthers.remove(mSelf);
        mFloor = floor;
        mHeld.retainAll(mOthers);
    }

    boolean holdsEnough() {
        return mHeld.countValidAt(mNowNanos + RETURN_MARGIN_NANOS) >= mFloor;
    }

    String describe() {
        int valid = mHeld.countValidAt(mNowNanos + RETURN_MARGIN_NANOS);
        return valid + " reservations from " + mOthers.size() + " other endpoints, floor " + mFloor;
    }

    void requestFromAll() {
        requestFrom(mOthers);
    }

    void renewWhenDue() {
        if (mNowNanos - mRenewalNanos < 0) {
            return;
        }
        long renewalNanos = mSettings.renewalInterval().toNanos();
        List<EndpointId> fresh = mHeld.grantorsSince(mNowNanos - 2 * renewalNanos);
        if (fresh.size() < mFloor + SPARE_RESERVATIONS) {
            requestFromAll();
        } else {
            requestFrom(keepNeeded(fresh));
        }
    }

    /** Releases unneeded reservations, so that the released endpoints can be ejected too. */
    void releaseSurplus() {
        keepNeeded(mHeld.grantorsSince(mNowNanos - mSettings.countedDuration().toNanos()));
    }

    void releaseAll() {
        releaseAllExcept(List.of());
    }

    void handleReply(ReservationMessage.Reply reply) {
        if (!isOwn(reply.requester(), reply.requesterIncarnation())) {
            return;
        }
        if (reply.granted()) {
            mHeld.grant(reply.grantor(), reply.grantorIncarnation(), reply.number(), mNowNanos);
        } else {
            mHeld.refuse(reply.grantor(), reply.grantorIncarnation());
        }
    }

    void handleRevocation(ReservationMessage.Revoked revoked, boolean relied) {
        if (!isOwn(revoked.requester(), revoked.requesterIncarnation())) {
            return;
        }
        if (!relied) {
            mHeld.remove(revoked.grantor());
            return;
        }
        long lastNanos = mNowNanos + REVOCATION_GRACE_NANOS;
        mHeld.revoke(revoked.grantor(), lastNanos);
        if (mHeld.countValidAt(lastNanos) < mFloor) {
            requestFromAll();
        }
    }

    private boolean isOwn(EndpointId requester, long requesterIncarnation) {
        return requester.equals(mSelf) && requesterIncarnation == mIncarnation;
    }

    private void requestFrom(Collection<EndpointId> destinations) {
        long number = mHeld.openRound(destinations, mNowNanos);
        long durationMillis = mSettings.reservationDuration().toMillis();
        var request = new ReservationMessage.Request(mSelf, mIncarnation, number, durationMillis);
        destinations.forEach(destination -> mActions.send(destination, request));
        mRenewalNanos = mNowNanos + mSettings.renewalInterval().toNanos();
    }

    private List<EndpointId> keepNeeded(List<EndpointId> grantors) {
        if (grantors.size() <= mFloor + SPARE_RESERVATIONS) {
            return grantors;
        }
        List<EndpointId> shuffled = new ArrayList<>(grantors);
        Collections.shuffle(shuffled, mRandom);
        List<EndpointId> kept = shuffled.subList(0, mFloor + SPARE_RESERVATIONS);
        releaseAllExcept(kept);
        return kept;
    }

    private void releaseAllExcept(List<EndpointId> kept) {
        var release = new ReservationMessage.Release(mSelf, mIncarnation, mHeld.lastNumber());
        mHeld.releaseAllExcept(kept).forEach(released -> mActions.send(released, release));
    }
}
