package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.detection.HealthDetector;
import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.ServiceTimeEstimator;
import org.arbutuslock.internal.detection.TrafficClass;

/**
 * Follows one dispatched request and reports what it says about the health of its backend server.
 * Confined to the event loop of the endpoint.
 */
final class RequestObservation {
    private final EndpointRuntime mEndpoint;
    private final Clock mClock;
    private final TrafficClass mLane;
    private final ServiceTimeEstimator mTimer;
    private final ServiceTimeEstimator.Ticket mTicket;
    private long mProgressNanos;
    private int mStallReports;
    private boolean mSlowedByCaller;
    private boolean mEnded;

    RequestObservation(EndpointRuntime endpoint, Clock clock, TrafficClass lane) {
        mEndpoint = endpoint;
        mClock = clock;
        mLane = lane;
        mTimer = endpoint.serviceTimer();
        mTicket = mTimer.dispatch();
        mProgressNanos = clock.nanoTime();
    }

    /** Notes that bytes of the response have arrived. */
    void progressed() {
        mProgressNanos = mClock.nanoTime();
    }

    /** Notes that the response waits for the caller, so that its latency is no evidence. */
    void slowedByCaller() {
        mSlowedByCaller = true;
    }

    /** Reports a stall when it is due. Returns the time until the next check. */
    long checkStall() {
        // A request that waits for its turn in the backend server does not stall.
        long worked = mTimer.elapsedServiceNanos(mTicket);
        long silent = Math.min(worked, mClock.nanoTime() - mProgressNanos);
        long due = HealthDetector.STALL_NANOS * (mStallReports + 1);
        if (silent < due) {
            return due - silent;
        }
        if (mayReportStall()) {
            mStallReports++;
            mEndpoint.observe(new Observation(mLane, 0, Outcome.STALLED));
        }
        return HealthDetector.STALL_NANOS;
    }

    private boolean mayReportStall() {
        return !mEnded && !mSlowedByCaller && mStallReports < HealthDetector.MAXIMUM_STALL_REPORTS;
    }

    /** Reports the end of the request; later calls have no effect. */
    void ended(Outcome outcome) {
        if (mEnded) {
            return;
        }
        long serviceNanos = withdraw();
        if (outcome == Outcome.OK && mSlowedByCaller) {
            return;
        }
        // A stall has been counted; a late response takes it back, a failure would count twice.
        boolean stalled = mStallReports > 0;
        if (stalled && outcome == Outcome.OK) {
            mEndpoint.observe(new Observation(mLane, serviceNanos, Outcome.LATE));
        } else if (!stalled) {
            mEndpoint.observe(new Observation(mLane, serviceNanos, outcome));
        }
    }

    /** Ends the observation of a request that says nothing about the backend server. */
    long withdraw() {
        if (mEnded) {
            return 0;
        }
        mEnded = true;
        return mTimer.finish(mTicket);
    }
}
