package org.arbutuslock.daemon.internal.sessions;

import java.util.concurrent.atomic.LongAdder;

/** Counts the sessions of a node, both opened and accepted. Thread safe. */
public final class SessionCounts {
    private final LongAdder mOpen = new LongAdder();
    private final LongAdder mSilent = new LongAdder();
    private final SentBytes mSentBytes = new SentBytes();

    /** Creates counters that are 0. */
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
     * Returns the number of sessions that were closed because the other node was silent.
     *
     * @return sessions since the start of the process whose heartbeat got no reply
     */
    public long silent() {
        return mSilent.sum();
    }

    /**
     * Returns the bytes that were sent to other nodes.
     *
     * @return counters by purpose and distance
     */
    public SentBytes sentBytes() {
        return mSentBytes;
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
