package org.arbutuslock.internal.detection;

import java.util.ArrayDeque;
import org.arbutuslock.api.Clock;

/**
 * Estimates the service time of requests, which is the time that a backend server works on them
 * without their wait in its queue. It assumes that the server starts requests in the order of their
 * dispatch. It must therefore see all requests to the server, as the home node does. Not
 * thread-safe.
 *
 * <pre>{@code
 * ServiceTimeEstimator.Ticket ticket = estimator.dispatch();
 * ...
 * detector.observe(TrafficClass.SHORT, estimator.finish(ticket), Outcome.OK);
 * }</pre>
 */
public final class ServiceTimeEstimator {
    private final int mSlots;
    private final Clock mClock;
    private final ArrayDeque<Ticket> mWaiting = new ArrayDeque<>();
    private int mBusy;

    /** Identifies one dispatched request. */
    public static final class Ticket {
        private final long mDispatchedNanos;
        private long mStartedNanos;
        private boolean mStarted;

        private Ticket(long dispatchedNanos) {
            mDispatchedNanos = dispatchedNanos;
        }
    }

    /**
     * Creates an estimator for one backend server.
     *
     * @param slots number of requests that the server processes concurrently, at least 1
     * @param clock monotonic time
     */
    public ServiceTimeEstimator(int slots, Clock clock) {
        mSlots = slots;
        mClock = clock;
    }

    /**
     * Records that a request was sent to the server.
     *
     * @return ticket that identifies the request in the other methods
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
     * Returns the service time of a running request so far.
     *
     * @param ticket the request
     * @return nanoseconds since the estimated start, or 0 while the request waits in the server
     */
    public long elapsedServiceNanos(Ticket ticket) {
        return ticket.mStarted ? mClock.nanoTime() - ticket.mStartedNanos : 0;
    }

    /**
     * Records that a request has ended or was cancelled.
     *
     * @param ticket the request
     * @return estimated service time in nanoseconds
     */
    public long finish(Ticket ticket) {
        long nowNanos = mClock.nanoTime();
        if (!ticket.mStarted) {
            // The request ended before its estimated start, so the server does not process requests
            // in order. Only a part of the time since dispatch was service time.
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
