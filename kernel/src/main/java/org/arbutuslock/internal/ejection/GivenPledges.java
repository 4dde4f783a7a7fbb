package org.arbutuslock.internal.ejection;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.arbutuslock.api.EndpointId;

/** Pledges that the local endpoint has given and is bound by. */
final class GivenPledges {
    /** A refused request is safe, so the limit only bounds memory. */
    private static final int LIMIT = 1024;

    /**
     * Requests of different incarnations are kept apart: otherwise a late release from an earlier
     * incarnation would free the pledge that a later one relies on.
     */
    record Requester(EndpointId endpoint, long incarnation) {}

    private record Given(long number, long expiryNanos) {}

    private final long mDurationNanos;
    private final Map<Requester, Given> mGiven = new HashMap<>();

    GivenPledges(long durationNanos) {
        mDurationNanos = durationNanos;
    }

    boolean hasRoomFor(Requester requester) {
        return mGiven.size() < LIMIT || mGiven.containsKey(requester);
    }

    void give(Requester requester, long number, long nowNanos) {
        Given previous = mGiven.get(requester);
        // A late copy of an earlier request must not lower the number that a release has to reach.
        long highest = previous == null ? number : Math.max(previous.number(), number);
        mGiven.put(requester, new Given(highest, nowNanos + mDurationNanos));
    }

    void release(Requester requester, long number) {
        Given given = mGiven.get(requester);
        if (given != null && given.number() <= number) {
            mGiven.remove(requester);
        }
    }

    void expire(long nowNanos) {
        if (!mGiven.isEmpty()) {
            mGiven.values().removeIf(given -> nowNanos - given.expiryNanos() >= 0);
        }
    }

    boolean isBound() {
        return !mGiven.isEmpty();
    }

    void revokeAll(BiConsumer<Requester, Long> notify) {
        mGiven.forEach((requester, given) -> notify.accept(requester, given.number()));
        mGiven.clear();
    }

    String describe() {
        EndpointId first = mGiven.keySet().iterator().next().endpoint();
        return mGiven.size() + " pledge(s) given, one to " + first;
    }
}
