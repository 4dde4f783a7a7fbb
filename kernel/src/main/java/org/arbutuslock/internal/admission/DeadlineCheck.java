package org.arbutuslock.internal.admission;

import org.arbutuslock.api.Clock;

/**
 * Decides whether a request can be expected to meet its deadline at one backend server. A request
 * is expected to take as long as others of its route do. Requests that this refuses yield no
 * samples, so that one request of a route at a time is admitted as a trial when nothing recent is
 * known about the route.
 */
final class DeadlineCheck {
    // A request is queued only if its deadline leaves the expected wait and twice the usual latency
    // of its route, since a request that is dispatched and misses its deadline takes a slot from
    // others. It is refused instead of dispatched when less than half the usual latency remains.
    private static final double SAFETY_FACTOR = 2.0;
    // A request is refused when its expected wait exceeds WAIT_BOUND_LATENCIES times the usual
    // latency, within these two bounds. With an upper bound of 1 s, recovery after a drop in load
    // took more than 2 s in 2 of 20 simulated runs. A bound of half the deadline would be too
    // high: short requests missed their deadline when long ones took the other slots in the
    // meantime.
    private static final long LOWEST_WAIT_BOUND_NANOS = 100_000_000L;
    private static final long HIGHEST_WAIT_BOUND_NANOS = 500_000_000L;
    private static final double WAIT_BOUND_LATENCIES = 5;
    // A request with a latency objective may wait as long as its response is expected within this
    // share of the objective. With the whole objective, one in six order requests was late at peak
    // load.
    private static final double OBJECTIVE_SHARE = 0.6;

    private final ConcurrencyLimit mLimit;
    private final RouteLatencies mRoutes;

    DeadlineCheck(Clock clock, ConcurrencyLimit limit) {
        mLimit = limit;
        mRoutes = new RouteLatencies(clock);
    }

    /** Discards all samples, because the backend server was restarted. */
    void restart() {
        mRoutes.clear();
    }

    /** Records how long a dispatched request took. */
    void record(Ticket<?> ticket, long latencyNanos, Completion completion) {
        switch (completion) {
            case SUCCESS -> recordSuccess(ticket, latencyNanos);
            case FAILED -> mRoutes.recordFailure(ticket.route());
            case SHED -> {}
        }
    }

    private void recordSuccess(Ticket<?> ticket, long latencyNanos) {
        if (ticket.isTrial()) {
            mRoutes.recordTrial(ticket.route(), latencyNanos);
        } else {
            mRoutes.record(ticket.route(), latencyNanos);
        }
    }

    /** Allows the next trial of the route if this request was one. */
    void ended(Ticket<?> ticket) {
        if (ticket.isTrial()) {
            mRoutes.endTrial(ticket.route());
        }
    }

    /** Returns the usual latency of the route, or that of the work class if it has no samples. */
    double latencyNanos(Ticket<?> ticket) {
        return mRoutes.latencyNanos(ticket.route()).orElse(mLimit.latencyNanos(ticket.workClass()));
    }

    /** Returns whether a request that is expected to wait for this time may be queued. */
    boolean mayWait(Ticket<?> ticket, double waitNanos, long now) {
        double expected = waitNanos + SAFETY_FACTOR * latencyNanos(ticket);
        return waitNanos <= maximumWaitNanos(ticket)
                && (expected <= ticket.remainingNanos(now) || tryTrial(ticket, waitNanos, now));
    }

    /** Returns whether a request may be sent to the backend server now. */
    boolean mayDispatch(Ticket<?> ticket, long now) {
        long remaining = ticket.remainingNanos(now);
        return remaining > 0
                && (latencyNanos(ticket) / SAFETY_FACTOR <= remaining || tryTrial(ticket, 0, now));
    }

    private boolean tryTrial(Ticket<?> ticket, double waitNanos, long now) {
        if (waitNanos + mRoutes.lowestNanos() > ticket.remainingNanos(now)) {
            return false;
        }
        if (!ticket.isTrial() && mRoutes.isTrialDue(ticket.route())) {
            mRoutes.startTrial(ticket.route());
            ticket.markTrial();
        }
        return ticket.isTrial();
    }

    /**
     * Returns the longest expected wait with which a request is queued. This is at least one
     * latency, so that work that takes longer than the upper bound can be queued.
     */
    private double maximumWaitNanos(Ticket<?> ticket) {
        double latency = mLimit.latencyNanos(ticket.workClass());
        double bound =
                Math.clamp(
                        WAIT_BOUND_LATENCIES * latency,
                        LOWEST_WAIT_BOUND_NANOS,
                        HIGHEST_WAIT_BOUND_NANOS);
        double withinObjective = ticket.objectiveNanos() * OBJECTIVE_SHARE - latency;
        return Math.max(Math.max(bound, latency), withinObjective);
    }
}
