package org.arbutuslock.daemon.internal.home;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Holds the last part of a body that may have been filled up by the next response on its
 * connection, until bytes behind it or a short time without any decide. Confined to the event loop
 * of the connection.
 */
final class HeldEnd {
    // The rest of a response that a backend server on the same host is writing arrives sooner.
    private static final long MAXIMUM_HOLD_MILLIS = 20;

    private BackendEvent mEnd;
    private String mFollowing = "";
    private Future<?> mTimer;

    /**
     * Holds the end of a body.
     *
     * @param end event that passes the last part on
     * @param following bytes that were received behind the body
     * @param eventLoop event loop of the connection
     * @param release called after the longest time for which an end is held
     */
    void hold(BackendEvent end, String following, EventLoop eventLoop, Runnable release) {
        mEnd = end;
        mFollowing = following;
        mTimer = eventLoop.schedule(release, MAXIMUM_HOLD_MILLIS, TimeUnit.MILLISECONDS);
    }

    boolean isPresent() {
        return mEnd != null;
    }

    /** Adds bytes that were received behind the body; returns all of them. */
    String addFollowing(String received) {
        mFollowing += received;
        return mFollowing;
    }

    /** Returns the held event and holds it no longer. */
    BackendEvent take() {
        BackendEvent end = mEnd;
        drop();
        return end;
    }

    /** Forgets the held event, if there is one. */
    void drop() {
        if (mEnd != null) {
            mEnd = null;
            mTimer.cancel(false);
        }
    }
}
