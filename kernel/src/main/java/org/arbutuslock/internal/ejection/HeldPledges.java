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

/** Pledges that the local endpoint has asked for and relies on. */
final class HeldPledges {
    private record Round(long number, long sentNanos, Set<EndpointId> asked) {}

    private record Held(long pledgerIncarnation, long sentNanos) {}

    private final long mCountedNanos;
    private final Deque<Round> mRounds = new ArrayDeque<>();
    private final Map<EndpointId, Held> mHeld = new HashMap<>();
    private final Set<EndpointId> mPossiblyBound = new HashSet<>();
    private long mLastNumber;

    /**
     * Creates an empty collection.
     *
     * @param countedNanos time for which a pledge counts after its request was sent
     * @param firstNumber random number from which requests are numbered, so that replies to an
     *     earlier coordinator of the endpoint do not match
     */
    HeldPledges(long countedNanos, long firstNumber) {
        mCountedNanos = countedNanos;
        mLastNumber = firstNumber;
    }

    /**
     * Starts a round of requests. The counted duration of its pledges starts now.
     *
     * @return number of the requests
     */
    long openRound(Collection<EndpointId> asked, long nowNanos) {
        mLastNumber++;
        mRounds.addLast(new Round(mLastNumber, nowNanos, new HashSet<>(asked)));
        mPossiblyBound.addAll(asked);
        return mLastNumber;
    }

    void grant(EndpointId pledger, long pledgerIncarnation, long number, long nowNanos) {
        for (Round round : mRounds) {
            boolean matches = round.number() == number && round.asked().contains(pledger);
            if (matches && nowNanos - round.sentNanos() < mCountedNanos) {
                keepNewest(pledger, new Held(pledgerIncarnation, round.sentNanos()));
            }
        }
    }

    private void keepNewest(EndpointId pledger, Held granted) {
        Held held = mHeld.get(pledger);
        if (held == null || granted.sentNanos() - held.sentNanos() > 0) {
            mHeld.put(pledger, granted);
        }
    }

    /**
     * Handles a refusal. An earlier pledge stays valid unless the pledger has restarted since it
     * granted that pledge.
     */
    void refuse(EndpointId pledger, long pledgerIncarnation) {
        Held held = mHeld.get(pledger);
        if (held != null && held.pledgerIncarnation() != pledgerIncarnation) {
            mHeld.remove(pledger);
        }
    }

    /** Drops the pledge of a peer and ignores its replies to the requests sent so far. */
    void forget(EndpointId pledger) {
        mHeld.remove(pledger);
        mRounds.forEach(round -> round.asked().remove(pledger));
    }

    /**
     * Handles a revocation. The pledge stays valid until the given time at most, and replies of the
     * peer to the requests sent so far are ignored.
     */
    void revoke(EndpointId pledger, long lastNanos) {
        Held held = mHeld.get(pledger);
        forget(pledger);
        if (held != null && held.sentNanos() + mCountedNanos - lastNanos > 0) {
            mHeld.put(pledger, new Held(held.pledgerIncarnation(), lastNanos - mCountedNanos));
        } else if (held != null) {
            mHeld.put(pledger, held);
        }
    }

    void forgetAllExcept(Set<EndpointId> known) {
        for (EndpointId pledger : List.copyOf(mHeld.keySet())) {
            if (!known.contains(pledger)) {
                forget(pledger);
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

    /** Returns the number of pledges that will still be valid at the given time. */
    int countValidAt(long timeNanos) {
        int valid = 0;
        for (Held held : mHeld.values()) {
            if (timeNanos - held.sentNanos() < mCountedNanos) {
                valid++;
            }
        }
        return valid;
    }

    /** Returns the peers whose pledge was requested after the given time, sorted. */
    List<EndpointId> pledgersSince(long sentAfterNanos) {
        List<EndpointId> pledgers = new ArrayList<>();
        mHeld.forEach(
                (pledger, held) -> {
                    if (held.sentNanos() - sentAfterNanos > 0) {
                        pledgers.add(pledger);
                    }
                });
        pledgers.sort(null);
        return pledgers;
    }

    /**
     * Drops all pledges except those of some peers, and returns the peers that may still be bound.
     */
    List<EndpointId> releaseAllExcept(Collection<EndpointId> kept) {
        List<EndpointId> released = new ArrayList<>(mPossiblyBound);
        released.removeAll(kept);
        released.sort(null);
        released.forEach(this::forget);
        mPossiblyBound.retainAll(kept);
        return released;
    }

    long lastNumber() {
        return mLastNumber;
    }
}
