package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.arbutuslock.api.store.StoreEntry;

/**
 * Decides when this node claims, renews and gives up a watcher slot. A node is a watcher only while
 * its lease is valid by its own clock.
 */
final class WatcherElection {
    /** Number of watcher slots of each availability zone. */
    static final int SLOTS = 3;

    /**
     * Duration of the lease of a slot. Replacing a failed watcher takes up to one lease and one
     * poll interval; the other watchers of the zone serve during this time.
     */
    static final Duration LEASE_DURATION = Duration.ofSeconds(10);

    private static final long RENEWAL_INTERVAL_NANOS = LEASE_DURATION.toNanos() / 3;

    /**
     * Time for which this node treats its lease as valid. It is shorter than the lease, so that the
     * node stops before the store ends the lease even when the two clocks run at different rates.
     */
    private static final long LOCAL_VALIDITY_NANOS = LEASE_DURATION.toNanos() * 9 / 10;

    private static final long RENEWAL_RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * Mean interval at which a candidate without a slot lists the slots. In 20 zones with 3 such
     * candidates each, this makes 12 of about 2,000 reads per second at the store.
     */
    private static final long POLL_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MAXIMUM_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();

    private enum State {
        IDLE,
        LISTING,
        CLAIMING,
        HOLDING
    }

    private final RandomGenerator mRandom;
    private State mState = State.IDLE;
    private int mSlot;
    private long mLease;
    private long mValidUntilNanos;
    private long mRenewAtNanos;
    private boolean mRenewing;
    private Map<Integer, Long> mSeenSlots = Map.of();
    private long mSeenSinceNanos;
    private long mSentNanos;
    private long mTryAtNanos;
    private long mBackoffNanos = INITIAL_BACKOFF_NANOS;

    WatcherElection(RandomGenerator random, long now) {
        mRandom = random;
        mTryAtNanos = now;
    }

    boolean isWatching(long now) {
        return mState == State.HOLDING && now - mValidUntilNanos < 0;
    }

    /**
     * Gives up the slot when its lease has expired. Must be called before every other decision,
     * since the process cannot notice that it was paused.
     */
    void checkLease(long now, List<SpreadAction> actions) {
        if (mState == State.HOLDING && !isWatching(now)) {
            giveUp("its lease expired before a renewal succeeded", now, actions);
        }
    }

    /**
     * Renews the lease or lists the slots when that is due. A node that is neither a watcher nor a
     * candidate makes no call to the store.
     */
    void tick(boolean candidate, long now, List<SpreadAction> actions) {
        if (mState == State.HOLDING && !mRenewing && now - mRenewAtNanos >= 0) {
            mRenewing = true;
            mSentNanos = now;
            actions.add(new SpreadAction.RenewLease(mLease));
        } else if (mState == State.IDLE && candidate && now - mTryAtNanos >= 0) {
            mState = State.LISTING;
            actions.add(new SpreadAction.ListSlots());
        }
    }

    /**
     * Handles the list of taken slots; {@code taken} is empty when the store did not respond. A
     * taken slot is claimed only when the zone has had no watcher for a long time and the slots
     * have not changed for one lease. This is needed after restoring a backup, which can contain
     * slots whose leases never expire.
     */
    void slotsListed(
            Optional<Map<Integer, Long>> taken,
            boolean unwatched,
            long now,
            List<SpreadAction> actions) {
        if (mState != State.LISTING) {
            return;
        }
        if (taken.isEmpty()) {
            backOff(now);
            return;
        }
        mBackoffNanos = INITIAL_BACKOFF_NANOS;
        List<Integer> free = new ArrayList<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            if (!taken.get().containsKey(slot)) {
                free.add(slot);
            }
        }
        if (free.isEmpty() && unwatched && areUnchangedForOneLease(taken.get(), now)) {
            free.addAll(taken.get().keySet());
        }
        if (free.isEmpty()) {
            waitWithJitter(POLL_INTERVAL_NANOS, now);
            return;
        }
        mState = State.CLAIMING;
        mSentNanos = now;
        int slot = free.get(mRandom.nextInt(free.size()));
        long version = taken.get().getOrDefault(slot, StoreEntry.ABSENT_VERSION);
        actions.add(new SpreadAction.ClaimSlot(slot, version));
    }

    /**
     * Returns whether the taken slots have been the same for the duration of a lease. A slot that
     * was claimed recently counts as changed, which leaves time for the digests of its watcher to
     * arrive.
     */
    private boolean areUnchangedForOneLease(Map<Integer, Long> taken, long now) {
        if (!taken.equals(mSeenSlots)) {
            mSeenSlots = taken;
            mSeenSinceNanos = now;
        }
        return now - mSeenSinceNanos >= LEASE_DURATION.toNanos();
    }

    /**
     * Handles the result of a claim. The validity of the lease counts from the time at which it was
     * requested.
     */
    void slotClaimed(int slot, WatcherSlots.Claim claim, long now, List<SpreadAction> actions) {
        if (mState != State.CLAIMING) {
            return;
        }
        switch (claim) {
            case WatcherSlots.Claim.Held(long lease) -> hold(slot, lease, now, actions);
            case WatcherSlots.Claim.Taken _ -> waitWithJitter(INITIAL_BACKOFF_NANOS, now);
            case WatcherSlots.Claim.Failed _ -> backOff(now);
        }
    }

    private void hold(int slot, long lease, long now, List<SpreadAction> actions) {
        mState = State.HOLDING;
        mSlot = slot;
        mLease = lease;
        mRenewing = false;
        extend();
        if (isWatching(now)) {
            actions.add(new SpreadAction.StartWatching(mSlot));
        } else {
            waitWithJitter(INITIAL_BACKOFF_NANOS, now);
        }
    }

    /** Handles the result of a renewal; that of a lease which is not held any more is ignored. */
    void leaseRenewed(
            long lease, WatcherSlots.Renewal renewal, long now, List<SpreadAction> actions) {
        if (mState != State.HOLDING || lease != mLease) {
            return;
        }
        mRenewing = false;
        switch (renewal) {
            case RENEWED -> extend();
            case EXPIRED -> giveUp("the store reports that its lease has expired", now, actions);
            case FAILED -> mRenewAtNanos = now + RENEWAL_RETRY_NANOS;
        }
    }

    private void extend() {
        mValidUntilNanos = mSentNanos + LOCAL_VALIDITY_NANOS;
        mRenewAtNanos = mSentNanos + RENEWAL_INTERVAL_NANOS;
    }

    private void giveUp(String reason, long now, List<SpreadAction> actions) {
        actions.add(new SpreadAction.StopWatching(reason));
        backOff(now);
    }

    private void backOff(long now) {
        waitWithJitter(mBackoffNanos, now);
        mBackoffNanos = Math.min(MAXIMUM_BACKOFF_NANOS, mBackoffNanos * 2);
    }

    /**
     * Waits for half to one and a half times the given time. The jitter keeps many nodes from
     * calling the store at the same moment after an outage.
     */
    private void waitWithJitter(long nanos, long now) {
        mState = State.IDLE;
        mTryAtNanos = now + nanos / 2 + mRandom.nextLong(nanos);
    }
}
