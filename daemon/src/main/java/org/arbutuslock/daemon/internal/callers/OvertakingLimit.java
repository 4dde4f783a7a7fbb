package org.arbutuslock.daemon.internal.callers;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the requests of all connections that are in progress before it is their turn. Each of them
 * may hold a response up to its initial credit, whatever its caller reads. Thread safe.
 */
final class OvertakingLimit {
    private final int mMaximum;
    private final AtomicInteger mUsed = new AtomicInteger();

    /**
     * Creates a limit of which nothing is used.
     *
     * @param maximum maximum number of such requests
     */
    OvertakingLimit(int maximum) {
        mMaximum = maximum;
    }

    /** Returns whether one more request may start before its turn, and counts it if so. */
    boolean tryAcquire() {
        if (mUsed.incrementAndGet() <= mMaximum) {
            return true;
        }
        mUsed.decrementAndGet();
        return false;
    }

    /** Uncounts a request that got its turn or was cancelled. */
    void release() {
        mUsed.decrementAndGet();
    }

    /** Returns the number of counted requests. */
    int used() {
        return mUsed.get();
    }
}
