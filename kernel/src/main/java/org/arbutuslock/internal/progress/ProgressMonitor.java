package org.arbutuslock.internal.progress;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;

/**
 * Tells whether a backend server seems to have stopped completing its work, from requests that are
 * overdue while they still run. One request is enough, since an endpoint at one or two requests a
 * second recovers before a second one is overdue. A request that was dispatched later and succeeds
 * ends the suspicion at once. Confined to one thread.
 *
 * <pre>{@code
 * ProgressMonitor.Run run = monitor.dispatched(800);
 * if (monitor.isSuspect() && !monitor.mayTry()) { refuse(); }
 * monitor.ended(run, ProgressMonitor.Result.SUCCEEDED);
 * }</pre>
 */
public final class ProgressMonitor {
    // Spells in which a backend server hangs last a few seconds; a longer suspicion without new
    // evidence would keep a sound server idle.
    private static final long EVIDENCE_NANOS = Duration.ofMillis(2_500).toNanos();
    // A single failure is usual; two without a success in between are not.
    private static final int FAILURES = 2;
    private static final long FAILURES_NANOS = Duration.ofMillis(1_500).toNanos();
    // A request that runs for this share of its overdue time is slower than most.
    private static final double SLOW_SHARE = 0.6;
    // Longer than a spell of hanging and a few tries; a server without traffic is proven again.
    private static final long UNPROVEN_NANOS = Duration.ofMillis(6_000).toNanos();
    // A suspect server gets so many requests that may be repeated, to find out whether it
    // recovered.
    private static final long TRY_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();

    private final Clock mClock;
    private final Deque<InFlightRequest> mRunning = new ArrayDeque<>();
    private long mStalledDispatchNanos;
    private long mStalledUntilNanos;
    private boolean mStalled;
    private long mSucceededDispatchNanos;
    private boolean mSucceeded;
    private int mFailures;
    private long mFailedNanos;
    private long mTriedNanos;
    private boolean mTried;

    /**
     * Creates a monitor without evidence.
     *
     * @param clock time
     */
    public ProgressMonitor(Clock clock) {
        mClock = clock;
    }

    /** How a run ended. */
    public enum Result {
        /** The response is complete and no failure. */
        SUCCEEDED,
        /** The backend server failed. */
        FAILED,
        /** The request was given up. */
        CANCELLED
    }

    /** One dispatched request. */
    public static final class InFlightRequest {
        private final long mDispatchNanos;
        private final long mOverdueNanos;

        private InFlightRequest(long dispatchNanos, long overdueNanos) {
            mDispatchNanos = dispatchNanos;
            mOverdueNanos = overdueNanos;
        }
    }

    /**
     * Notes that a request was sent to the backend server.
     *
     * @param overdueMillis time after which its response is overdue
     * @return passed to {@link #ended}
     */
    public InFlightRequest dispatched(long overdueMillis) {
        long now = mClock.nanoTime();
        InFlightRequest run =
                new InFlightRequest(now, TimeUnit.MILLISECONDS.toNanos(overdueMillis));
        mRunning.add(run);
        return run;
    }

    /**
     * Notes the end of a request.
     *
     * @param run the request
     * @param result how it ended
     */
    public void ended(InFlightRequest run, Result result) {
        if (!mRunning.remove(run)) {
            return;
        }
        long now = mClock.nanoTime();
        switch (result) {
            case SUCCEEDED -> {
                mFailures = 0;
                if (!mSucceeded || run.mDispatchNanos - mSucceededDispatchNanos > 0) {
                    mSucceeded = true;
                    mSucceededDispatchNanos = run.mDispatchNanos;
                }
            }
            case FAILED -> {
                mFailures++;
                mFailedNanos = now;
                keepStall(run, now);
            }
            case CANCELLED -> keepStall(run, now);
        }
    }

    /** Keeps the evidence of an overdue request that does not run any more. */
    private void keepStall(InFlightRequest run, long now) {
        long overdueAt = run.mDispatchNanos + run.mOverdueNanos;
        boolean newer = !mStalled || run.mDispatchNanos - mStalledDispatchNanos > 0;
        if (now - overdueAt >= 0 && newer) {
            mStalled = true;
            mStalledDispatchNanos = run.mDispatchNanos;
            mStalledUntilNanos = overdueAt + EVIDENCE_NANOS;
        }
    }

    /**
     * Tells whether the newest evidence is against the backend server.
     *
     * @return true when work should go elsewhere
     */
    public boolean isSuspect() {
        long now = mClock.nanoTime();
        if (mFailures >= FAILURES && now - mFailedNanos < FAILURES_NANOS) {
            return true;
        }
        if (mStalled && now - mStalledUntilNanos < 0 && isNewest(mStalledDispatchNanos)) {
            return true;
        }
        for (InFlightRequest run : mRunning) {
            long overdue = now - run.mDispatchNanos - run.mOverdueNanos;
            if (overdue >= 0 && overdue < EVIDENCE_NANOS && isNewest(run.mDispatchNanos)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether nothing newer than the last success is against the backend server: no failure,
     * no stall and no request that runs for longer than most. Requests that may not be repeated go
     * to proven servers first.
     *
     * @return true when the server is as likely to complete a request as any
     */
    public boolean isProven() {
        long now = mClock.nanoTime();
        if (mFailures > 0 && now - mFailedNanos < FAILURES_NANOS) {
            return false;
        }
        boolean stalled = mStalled && now - mStalledUntilNanos < UNPROVEN_NANOS - EVIDENCE_NANOS;
        if (stalled && isNewest(mStalledDispatchNanos)) {
            return false;
        }
        for (InFlightRequest run : mRunning) {
            long slowNanos = (long) (run.mOverdueNanos * SLOW_SHARE);
            if (now - run.mDispatchNanos >= slowNanos && isNewest(run.mDispatchNanos)) {
                return false;
            }
        }
        return true;
    }

    private boolean isNewest(long dispatchNanos) {
        return !mSucceeded || dispatchNanos - mSucceededDispatchNanos > 0;
    }

    /**
     * Allows one request that may be repeated at a suspect backend server from time to time.
     *
     * @return true when the request shall be sent
     */
    public boolean tryAcquireTrial() {
        long now = mClock.nanoTime();
        if (mTried && now - mTriedNanos < TRY_INTERVAL_NANOS) {
            return false;
        }
        mTried = true;
        mTriedNanos = now;
        return true;
    }
}
