package org.arbutuslock.testbed.load;

import java.util.concurrent.Future;

/**
 * State of one request from its intended send time until its result. Confined to one event loop.
 */
final class Exchange {
    private final Arrival mArrival;
    private final RequestKind mKind;
    private final String mUri;
    private final long mIntendedAtNanos;
    private Future<?> mTimer;
    private LoadConnection mConnection;
    private boolean mFinished;

    Exchange(Arrival arrival, RequestKind kind, long intendedAtNanos) {
        mArrival = arrival;
        mKind = kind;
        mUri = kind.uri(arrival.sequence());
        mIntendedAtNanos = intendedAtNanos;
    }

    Arrival arrival() {
        return mArrival;
    }

    RequestKind kind() {
        return mKind;
    }

    String uri() {
        return mUri;
    }

    void setTimer(Future<?> timer) {
        mTimer = timer;
    }

    /** Sets the connection that is closed if the request times out. */
    void setConnection(LoadConnection connection) {
        mConnection = connection;
    }

    LoadConnection connection() {
        return mConnection;
    }

    boolean isFinished() {
        return mFinished;
    }

    LoadSample finish(LoadResult result, int status, String outcome, String requestId) {
        mFinished = true;
        mTimer.cancel(false);
        return new LoadSample(
                mArrival.sequence(),
                mArrival.step(),
                mKind.name(),
                mUri,
                mArrival.intendedNanos(),
                System.nanoTime() - mIntendedAtNanos,
                result,
                status,
                outcome,
                requestId);
    }
}
