package org.arbutuslock.internal.detection;

import java.util.ArrayDeque;
import org.arbutuslock.api.Clock;

/**
 * Estimates when a backend server began to work on a request, so that waiting inside the server
 * does not look like slow work. Assumes that the server takes requests in the order of their
 * dispatch; only the home node, which dispatches all of them, can know this.
 *
 * <pre>{@code
 * ServiceTimer.Ticket ticket = timer.dispatch();
 * ...
 * detector.observe(Lane.SHORT, timer.finish(ticket), Outcome.OK);
 * }</pre>
 */
public final class ServiceTimeEstimator {
    private final int mSlots;
    private final Clock mClock;
    private final ArrayDeque<Ticket> mWaiting = new ArrayDeque<>();
    private int mBusy;

    /** One dispatched request. */
    public static final class Ticket {
        private final long mDispatchedNanos;
        private long mStartedNanos;
        private boolean mStarted;

        private Ticket(long dispatchedNanos) {
            mDispatchedNanos = dispatchedNanos;
        }
    }

    /**
     * Creates a timer for one backend server.
     *
     * @param slots requests that the server works on at once
     * @param clock monotonic time
     */
    public ServiceTimeEstimator(int slots, Clock clock) {
        mSlots = slots;
        mClock = clock;
    }

    /**
     * Records that a request was sent to the server.
     *
     * @return names the request in the other methods
     */
    public Ticket dispatch() {
        Ticket ticket = new Ticket(mClock.nanoTime());
        if (mBusy < mSlots) {
            start(ticket);
        } else {
            mWaiting.addLast(ticket);
        }
        return ticket;
    }

    /**
     * Tells how long the server has worked on a request.
     *
     * @param ticket the request
     * @return nanoseconds since its estimated start, 0 while it waits in the server
     */
    public long elapsedServiceNanos(Ticket ticket) {
        return ticket.mStarted ? mClock.nanoTime() - ticket.mStartedNanos : 0;
    }

    /**
     * Records that a request has ended or was cancelled.
     *
     * @param ticket the request
     * @return nanoseconds that the server worked on it
     */
    public long finish(Ticket ticket) {
        long nowNanos = mClock.nanoTime();
        if (!ticket.mStarted) {
            // The server does not keep the order, so that only a share of the time was work.
            int turns = 1 + mWaiting.size() / mSlots;
            mWaiting.remove(ticket);
            return (nowNanos - ticket.mDispatchedNanos) / (1 + turns);
        }
        mBusy--;
        if (!mWaiting.isEmpty()) {
            start(mWaiting.removeFirst());
        }
        return nowNanos - ticket.mStartedNanos;
    }

    private void start(Ticket ticket) {
        ticket.mStarted = true;
        ticket.mStartedNanos = mClock.nanoTime();
        mBusy++;
    }
}
