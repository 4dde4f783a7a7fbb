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
    private static final long EVIDENCE_LIFETIME_NANOS = Duration.ofMillis(2_500).toNanos();
    // A single failure is usual; two without a success in between are not.
    private static final int FAILURE_THRESHOLD = 2;
    private static final long FAILURE_WINDOW_NANOS = Duration.ofMillis(1_500).toNanos();
    // A request that runs for this share of its overdue time is slower than most.
    private static final double SLOW_SHARE = 0.6;
    // Longer than a spell of hanging and a few tries; a server without traffic is proven again.
    private static final long UNPROVEN_NANOS = Duration.ofMillis(6_000).toNanos();
    // A suspect server gets so many requests that may be repeated, to find out whether it
    // recovered.
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();

    private final Clock mClock;
    private final Deque<Run> mRunning = new ArrayDeque<>();
    private long mStalledDispatchNanos;
    private long mStalledUntilNanos;
    private boolean mStalled;
    private long mLastSuccessDispatchNanos;
    private boolean mSucceeded;
    private int mFailures;
    private long mFailedNanos;
    private long mLastTrialNanos;
    private boolean mTrialSent;

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
        WITHDRAWN
    }

    /** One dispatched request. */
    public static final class Run {
        private final long mDispatchNanos;
        private final long mOverdueNanos;

        private Run(long dispatchNanos, long overdueNanos) {
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
    public Run dispatched(long overdueMillis) {
        long now = mClock.nanoTime();
        Run run = new Run(now, TimeUnit.MILLISECONDS.toNanos(overdueMillis));
        mRunning.add(run);
        return run;
    }

    /**
     * Notes the end of a request.
     *
     * @param run the request
     * @param result how it ended
     */
    public void ended(Run run, Result result) {
        if (!mRunning.remove(run)) {
            return;
        }
        long now = mClock.nanoTime();
        switch (result) {
            case SUCCEEDED -> {
                mFailures = 0;
                if (!mSucceeded || run.mDispatchNanos - mLastSuccessDispatchNanos > 0) {
                    mSucceeded = true;
                    mLastSuccessDispatchNanos = run.mDispatchNanos;
                }
            }
            case FAILED -> {
                mFailures++;
                mFailedNanos = now;
                recordStall(run, now);
            }
            case WITHDRAWN -> recordStall(run, now);
        }
    }

    /** Keeps the evidence of an overdue request that does not run any more. */
    private void recordStall(Run run, long now) {
        long overdueAt = run.mDispatchNanos + run.mOverdueNanos;
        boolean newer = !mStalled || run.mDispatchNanos - mStalledDispatchNanos > 0;
        if (now - overdueAt >= 0 && newer) {
            mStalled = true;
            mStalledDispatchNanos = run.mDispatchNanos;
            mStalledUntilNanos = overdueAt + EVIDENCE_LIFETIME_NANOS;
        }
    }

    /**
     * Tells whether the newest evidence is against the backend server.
     *
     * @return true when work should go elsewhere
     */
    public boolean isSuspect() {
        long now = mClock.nanoTime();
        if (mFailures >= FAILURE_THRESHOLD && now - mFailedNanos < FAILURE_WINDOW_NANOS) {
            return true;
        }
        if (mStalled && now - mStalledUntilNanos < 0 && isAfterLastSuccess(mStalledDispatchNanos)) {
            return true;
        }
        for (Run run : mRunning) {
            long overdue = now - run.mDispatchNanos - run.mOverdueNanos;
            if (overdue >= 0
                    && overdue < EVIDENCE_LIFETIME_NANOS
                    && isAfterLastSuccess(run.mDispatchNanos)) {
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
        if (mFailures > 0 && now - mFailedNanos < FAILURE_WINDOW_NANOS) {
            return false;
        }
        boolean stalled =
                mStalled && now - mStalledUntilNanos < UNPROVEN_NANOS - EVIDENCE_LIFETIME_NANOS;
        if (stalled && isAfterLastSuccess(mStalledDispatchNanos)) {
            return false;
        }
        for (Run run : mRunning) {
            long slowNanos = (long) (run.mOverdueNanos * SLOW_SHARE);
            if (now - run.mDispatchNanos >= slowNanos && isAfterLastSuccess(run.mDispatchNanos)) {
                return false;
            }
        }
        return true;
    }

    private boolean isAfterLastSuccess(long dispatchNanos) {
        return !mSucceeded || dispatchNanos - mLastSuccessDispatchNanos > 0;
    }

    /**
     * Allows one request that may be repeated at a suspect backend server from time to time.
     *
     * @return true when the request shall be sent
     */
    public boolean mayTry() {
        long now = mClock.nanoTime();
        if (mTrialSent && now - mLastTrialNanos < TRIAL_INTERVAL_NANOS) {
            return false;
        }
        mTrialSent = true;
        mLastTrialNanos = now;
        return true;
    }
}
