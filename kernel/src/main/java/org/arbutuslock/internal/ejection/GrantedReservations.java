package org.arbutuslock.internal.ejection;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.arbutuslock.api.EndpointId;

/** Reservations that the local endpoint has granted and is bound by. */
final class GrantedReservations {
    /** Limits the memory use. Further requests are refused, which never violates the floor. */
    private static final int MAXIMUM_RESERVATIONS = 1024;

    /**
     * One incarnation of a requesting endpoint. Incarnations are kept apart, because otherwise a
     * delayed release from an earlier incarnation would end the reservation of a later incarnation.
     */
    record Requester(EndpointId endpoint, long incarnation) {}

    private record Grant(long number, long expiryNanos) {}

    private final long mDurationNanos;
    private final Map<Requester, Grant> mGrants = new HashMap<>();

    GrantedReservations(long durationNanos) {
        mDurationNanos = durationNanos;
    }

    boolean hasRoomFor(Requester requester) {
        return mGrants.size() < MAXIMUM_RESERVATIONS || mGrants.containsKey(requester);
    }

    void grant(Requester requester, long number, long nowNanos) {
        Grant previous = mGrants.get(requester);
        // Keeps the highest number. Otherwise a delayed copy of an earlier request would lower it,
        // and the release of that earlier request would end the reservation.
        long highest = previous == null ? number : Math.max(previous.number(), number);
        mGrants.put(requester, new Grant(highest, nowNanos + mDurationNanos));
    }

    void release(Requester requester, long number) {
        Grant grant = mGrants.get(requester);
        if (grant != null && grant.number() <= number) {
            mGrants.remove(requester);
        }
    }

    void expire(long nowNanos) {
        if (!mGrants.isEmpty()) {
            mGrants.values().removeIf(grant -> nowNanos - grant.expiryNanos() >= 0);
        }
    }

    boolean isBound() {
        return !mGrants.isEmpty();
    }

    void revokeAll(BiConsumer<Requester, Long> notify) {
        mGrants.forEach((requester, grant) -> notify.accept(requester, grant.number()));
        mGrants.clear();
    }

    String describe() {
        EndpointId first = mGrants.keySet().iterator().next().endpoint();
        return mGrants.size() + " reservation(s) granted, one of them to " + first;
    }
}
