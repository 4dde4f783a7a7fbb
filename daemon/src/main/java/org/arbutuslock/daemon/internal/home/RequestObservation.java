package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.detection.HealthDetector;
import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.ServiceTimeEstimator;
import org.arbutuslock.internal.detection.TrafficClass;

/**
 * Observes one dispatched request and reports the evidence that it gives about the health of its
 * backend server. Confined to the event loop of the endpoint.
 */
final class RequestObservation {
    private final EndpointRuntime mEndpoint;
    private final Clock mClock;
    private final TrafficClass mTrafficClass;
    private final ServiceTimeEstimator mServiceTimeEstimator;
    private final ServiceTimeEstimator.Ticket mTicket;
    private long mProgressNanos;
    private int mStallReports;
    private boolean mSlowCaller;
    private boolean mEnded;

    RequestObservation(EndpointRuntime endpoint, Clock clock, TrafficClass trafficClass) {
        mEndpoint = endpoint;
        mClock = clock;
        mTrafficClass = trafficClass;
        mServiceTimeEstimator = endpoint.serviceTimeEstimator();
        mTicket = mServiceTimeEstimator.dispatch();
        mProgressNanos = clock.nanoTime();
    }

    /** Records that bytes of the response have arrived, which restarts the detection of stalls. */
    void recordProgress() {
        mProgressNanos = mClock.nanoTime();
    }

    /**
     * Records that reading of the response was stopped for a slow caller. The latency of the
     * request then says nothing about the backend server.
     */
    void recordSlowCaller() {
        mSlowCaller = true;
    }

    /** Reports a stall when it is due. Returns the nanoseconds until the next check. */
    long checkStall() {
        // Only time of work counts: a request that is queued in the backend server does not stall.
        long worked = mServiceTimeEstimator.elapsedServiceNanos(mTicket);
        long silent = Math.min(worked, mClock.nanoTime() - mProgressNanos);
        long due = HealthDetector.STALL_NANOS * (mStallReports + 1);
        if (silent < due) {
            return due - silent;
        }
        if (mayReportStall()) {
            mStallReports++;
            mEndpoint.observe(new Observation(mTrafficClass, 0, Outcome.STALLED));
        }
        return HealthDetector.STALL_NANOS;
    }

    private boolean mayReportStall() {
        return !mEnded && !mSlowCaller && mStallReports < HealthDetector.MAXIMUM_STALL_REPORTS;
    }

    /** Reports the outcome of the request. Only the first call has an effect. */
    void ended(Outcome outcome) {
        if (mEnded) {
            return;
        }
        long serviceNanos = withdraw();
        if (outcome == Outcome.OK && mSlowCaller) {
            return;
        }
        // After a stall report, a late response retracts that report. A failure is not reported,
        // since it would count twice.
        boolean stalled = mStallReports > 0;
        if (stalled && outcome == Outcome.OK) {
            mEndpoint.observe(new Observation(mTrafficClass, serviceNanos, Outcome.LATE));
        } else if (!stalled) {
            mEndpoint.observe(new Observation(mTrafficClass, serviceNanos, outcome));
        }
    }

    /**
     * Ends the observation without a report, for a request that is no evidence about the backend
     * server. Returns the estimated nanoseconds that the server worked on it, 0 on later calls.
     */
    long withdraw() {
        if (mEnded) {
            return 0;
        }
        mEnded = true;
        return mServiceTimeEstimator.finish(mTicket);
    }
}
