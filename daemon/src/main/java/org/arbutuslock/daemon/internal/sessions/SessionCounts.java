package org.arbutuslock.daemon.internal.sessions;

import java.util.concurrent.atomic.LongAdder;

/** Counts the sessions of a node, opened or accepted. */
public final class SessionCounts {
    private final LongAdder mOpen = new LongAdder();
    private final LongAdder mSilent = new LongAdder();

    /** Creates counts of no session. */
    public SessionCounts() {}

    /**
     * Returns the number of open sessions.
     *
     * @return sessions whose connection is open
     */
    public long open() {
        return mOpen.sum();
    }

    /**
     * Returns the number of sessions that were given up as silent.
     *
     * @return sessions since the start whose heartbeat got no reply
     */
    public long silent() {
        return mSilent.sum();
    }

    void addOpen() {
        mOpen.increment();
    }

    void removeOpen() {
        mOpen.decrement();
    }

    void addSilent() {
        mSilent.increment();
    }
}
