package org.arbutuslock.daemon.internal.sessions;

import java.time.Duration;

/**
 * Decides when a session must send a heartbeat and when the other node counts as silent. Does no
 * input or output itself. Confined to one thread.
 *
 * <p>A session with requests in progress (busy) is checked at short intervals. An idle session is
 * checked rarely, since thousands of idle sessions share the control bandwidth of a node.
 */
public final class Heartbeats {
    private static final Duration BUSY_TICK = Duration.ofMillis(125);
    private static final Duration IDLE_TICK = Duration.ofMillis(2_500);

    private static final long BUSY_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
    private static final long IDLE_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long SUSPECT_NANOS = Duration.ofMillis(500).toNanos();
    private static final long SILENT_NANOS = Duration.ofMillis(1_000).toNanos();

    private long mLastReceivedNanos;
    private long mLastTickNanos;
    private long mHeartbeatSentNanos;
    private long mTickDelayNanos;
    private boolean mAwaitingReply;

    /**
     * Creates the state of a session that has just been opened.
     *
     * @param nowNanos reading of the clock
     */
    public Heartbeats(long nowNanos) {
        mLastReceivedNanos = nowNanos;
        mLastTickNanos = nowNanos;
    }

    /**
     * Returns the delay after which {@link #tick} must be called next. A call that is more than 500
     * ms late counts as a pause of this process.
     *
     * @param busy true when requests are in progress on the session
     * @return delay until the next call
     */
    public Duration nextTick(boolean busy) {
        Duration next = busy || mAwaitingReply ? BUSY_TICK : IDLE_TICK;
        mTickDelayNanos = next.toNanos();
        return next;
    }

    /**
     * Records that a message of any kind was received, which proves that the other node is alive.
     *
     * @param nowNanos reading of the clock
     */
    public void received(long nowNanos) {
        mLastReceivedNanos = nowNanos;
        mAwaitingReply = false;
    }

    /**
     * Decides what the session must do now.
     *
     * @param nowNanos reading of the clock
     * @param busy true when requests are in progress on the session
     * @return the action
     */
    public Decision tick(long nowNanos, boolean busy) {
        boolean paused = nowNanos - mLastTickNanos > mTickDelayNanos + SUSPECT_NANOS;
        mLastTickNanos = nowNanos;
        if (paused) {
            // This process was paused, so it could not receive a reply in that time.
            mAwaitingReply = false;
            mLastReceivedNanos = Math.max(mLastReceivedNanos, nowNanos - BUSY_INTERVAL_NANOS);
        }
        if (mAwaitingReply) {
            return decideUnanswered(nowNanos - mHeartbeatSentNanos);
        }
        long interval = busy ? BUSY_INTERVAL_NANOS : IDLE_INTERVAL_NANOS;
        if (nowNanos - mLastReceivedNanos < interval) {
            return Decision.NOTHING;
        }
        mAwaitingReply = true;
        mHeartbeatSentNanos = nowNanos;
        return Decision.SEND_HEARTBEAT;
    }

    private static Decision decideUnanswered(long waitedNanos) {
        if (waitedNanos >= SILENT_NANOS) {
            return Decision.CLOSE_SESSION;
        }
        return waitedNanos >= SUSPECT_NANOS ? Decision.OPEN_REPLACEMENT : Decision.NOTHING;
    }

    /** What a session has to do. */
    public enum Decision {
        /** The other node is alive or still has time to reply. */
        NOTHING,
        /** Nothing was received for the heartbeat interval; send a heartbeat. */
        SEND_HEARTBEAT,
        /** The reply is late by 500 ms; open another session for new requests. */
        OPEN_REPLACEMENT,
        /** There was no reply for 1 s; close the session. */
        CLOSE_SESSION
    }
}
