package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.detection.HealthDetector;
import org.arbutuslock.internal.detection.Lane;
import org.arbutuslock.internal.detection.Outcome;

/**
 * Follows one dispatched request and reports what it says about the health of its backend server.
 * Confined to the event loop of the endpoint.
 */
final class RequestObservation {
    private final EndpointRuntime mEndpoint;
    private final Clock mClock;
    private final Lane mLane;
    private final long mDispatchedNanos;
    private final int mInFlight;
    private long mProgressNanos;
    private boolean mStalled;
    private boolean mSlowedByCaller;
    private boolean mReported;

    RequestObservation(EndpointRuntime endpoint, Clock clock, Lane lane, int inFlight) {
        mEndpoint = endpoint;
        mClock = clock;
        mLane = lane;
        mInFlight = inFlight;
        mDispatchedNanos = clock.nanoTime();
        mProgressNanos = mDispatchedNanos;
    }

    /** Notes that bytes of the response have arrived. */
    void progressed() {
        mProgressNanos = mClock.nanoTime();
    }

    /** Notes that the response waits for the caller, so that its latency is no evidence. */
    void slowedByCaller() {
        mSlowedByCaller = true;
    }

    /** Reports a stall once. Returns the time until the next check. */
    long checkStall() {
        long waited = mClock.nanoTime() - mProgressNanos;
        if (waited < HealthDetector.STALL_NANOS) {
            return HealthDetector.STALL_NANOS - waited;
        }
        if (!mStalled && !mSlowedByCaller && !mReported) {
            mStalled = true;
            report(Outcome.STALLED);
        }
        return HealthDetector.STALL_NANOS;
    }

    /** Reports the end of the request; later calls have no effect. */
    void ended(Outcome outcome) {
        if (mReported) {
            return;
        }
        mReported = true;
        if (outcome == Outcome.OK && mSlowedByCaller) {
            return;
        }
        // The stall has been counted; a late response takes it back, a failure would count twice.
        if (mStalled && outcome == Outcome.OK) {
            report(Outcome.LATE);
        } else if (!mStalled) {
            report(outcome);
        }
    }

    private void report(Outcome outcome) {
        long latency = mClock.nanoTime() - mDispatchedNanos;
        mEndpoint.observe(new Observation(mLane, latency, mInFlight, outcome));
    }
}
