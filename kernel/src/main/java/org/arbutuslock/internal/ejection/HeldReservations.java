package org.arbutuslock.internal.ejection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.arbutuslock.api.EndpointId;

/** Reservations that the local endpoint has asked for and relies on. */
final class HeldReservations {
    private record Round(long number, long sentNanos, Set<EndpointId> asked) {}

    private record Held(long grantorIncarnation, long sentNanos) {}

    private final long mCountedNanos;
    private final Deque<Round> mRounds = new ArrayDeque<>();
    private final Map<EndpointId, Held> mHeld = new HashMap<>();

    /** Endpoints to which a request was sent and no release since. */
    private final Set<EndpointId> mPossiblyBound = new HashSet<>();

    private long mLastNumber;

    /**
     * Creates an empty collection.
     *
     * @param countedNanos time for which a reservation counts after its request was sent
     * @param firstNumber random number from which requests are numbered, so that replies to an
     *     earlier coordinator of the endpoint do not match
     */
    HeldReservations(long countedNanos, long firstNumber) {
        mCountedNanos = countedNanos;
        mLastNumber = firstNumber;
    }

    /**
     * Starts a round of requests. The counted duration of its reservations starts now.
     *
     * @return number of the requests
     */
    long openRound(Collection<EndpointId> asked, long nowNanos) {
        mLastNumber++;
        mRounds.addLast(new Round(mLastNumber, nowNanos, new HashSet<>(asked)));
        mPossiblyBound.addAll(asked);
        return mLastNumber;
    }

    void grant(EndpointId grantor, long grantorIncarnation, long number, long nowNanos) {
        for (Round round : mRounds) {
            boolean matches = round.number() == number && round.asked().contains(grantor);
            if (matches && nowNanos - round.sentNanos() < mCountedNanos) {
                keepNewest(grantor, new Held(grantorIncarnation, round.sentNanos()));
            }
        }
    }

    private void keepNewest(EndpointId grantor, Held granted) {
        Held held = mHeld.get(grantor);
        if (held == null || granted.sentNanos() - held.sentNanos() > 0) {
            mHeld.put(grantor, granted);
        }
    }

    /**
     * Handles a refusal. An earlier reservation stays valid unless the grantor has restarted since
     * it granted that reservation.
     */
    void refuse(EndpointId grantor, long grantorIncarnation) {
        Held held = mHeld.get(grantor);
        if (held != null && held.grantorIncarnation() != grantorIncarnation) {
            mHeld.remove(grantor);
        }
    }

    /** Drops the reservation of a peer and ignores its replies to the requests sent so far. */
    void remove(EndpointId grantor) {
        mHeld.remove(grantor);
        mRounds.forEach(round -> round.asked().remove(grantor));
    }

    /**
     * Handles a revocation. The reservation stays valid until the given time at most, and replies
     * of the peer to the requests sent so far are ignored.
     */
    void revoke(EndpointId grantor, long lastNanos) {
        Held held = mHeld.get(grantor);
        remove(grantor);
        if (held != null && held.sentNanos() + mCountedNanos - lastNanos > 0) {
            mHeld.put(grantor, new Held(held.grantorIncarnation(), lastNanos - mCountedNanos));
        } else if (held != null) {
            mHeld.put(grantor, held);
        }
    }

    void retainAll(Set<EndpointId> known) {
        for (EndpointId grantor : List.copyOf(mHeld.keySet())) {
            if (!known.contains(grantor)) {
                remove(grantor);
            }
        }
    }

    void expire(long nowNanos) {
        while (!mRounds.isEmpty() && nowNanos - mRounds.peekFirst().sentNanos() >= mCountedNanos) {
            mRounds.removeFirst();
        }
        if (!mHeld.isEmpty()) {
            mHeld.values().removeIf(held -> nowNanos - held.sentNanos() >= mCountedNanos);
        }
    }

    /** Returns the number of reservations that will still be valid at the given time. */
    int countValidAt(long timeNanos) {
        int valid = 0;
        for (Held held : mHeld.values()) {
            if (timeNanos - held.sentNanos() < mCountedNanos) {
                valid++;
            }
        }
        return valid;
    }

    /** Returns the peers whose reservation was requested after the given time, sorted. */
    List<EndpointId> grantorsSince(long sentAfterNanos) {
        List<EndpointId> grantors = new ArrayList<>();
        mHeld.forEach(
                (grantor, held) -> {
                    if (held.sentNanos() - sentAfterNanos > 0) {
                        grantors.add(grantor);
                    }
                });
        grantors.sort(null);
        return grantors;
    }

    /**
     * Drops all reservations except those of some peers, and returns the peers that may still be
     * bound.
     */
    List<EndpointId> releaseAllExcept(Collection<EndpointId> kept) {
        List<EndpointId> released = new ArrayList<>(mPossiblyBound);
        released.removeAll(kept);
        released.sort(null);
        released.forEach(this::remove);
        mPossiblyBound.retainAll(kept);
        return released;
    }

    long lastNumber() {
        return mLastNumber;
    }
}
