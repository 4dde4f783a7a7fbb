package org.arbutuslock.internal.progress;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;

/**
 * Detects a backend server that has stopped completing requests, from in-flight requests that are
 * overdue. One overdue request is enough: at one or two requests per second, a server may recover
 * before a second request is overdue. The success of a request that was dispatched later ends the
 * suspicion at once. Confined to one thread.
 *
 * <pre>{@code
 * ProgressMonitor.InFlightRequest request = monitor.dispatched(800);
 * if (monitor.isSuspect() && !monitor.tryAcquireTrial()) { refuse(); }
 * monitor.ended(request, ProgressMonitor.Result.SUCCEEDED);
 * }</pre>
 */
public final class ProgressMonitor {
    // A backend server hangs for a few seconds at a time. A longer suspicion without new evidence
    // would keep a recovered server idle.
    private static final long EVIDENCE_LIFETIME_NANOS = Duration.ofMillis(2_500).toNanos();
    // Single failures are normal; two without a success in between are evidence of a fault.
    private static final int FAILURE_THRESHOLD = 2;
    private static final long FAILURE_WINDOW_NANOS = Duration.ofMillis(1_500).toNanos();
    // A request that has run for this share of its overdue time is slower than most.
    private static final double SLOW_SHARE = 0.6;
    // Longer than a typical hang and a few trial requests. After this time a server without traffic
    // counts as proven again.
    private static final long UNPROVEN_NANOS = Duration.ofMillis(6_000).toNanos();
    // Interval between trial requests to a suspect server, which show whether it has recovered.
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();

    private final Clock mClock;
    private final Deque<InFlightRequest> mInFlight = new ArrayDeque<>();
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
     * @param clock source of monotonic time
     */
    public ProgressMonitor(Clock clock) {
        mClock = clock;
    }

    /** Result of a request. */
    public enum Result {
        /** The response is complete and is no failure of the backend server. */
        SUCCEEDED,
        /** The backend server failed. */
        FAILED,
        /** The request was cancelled before it ended. */
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
     * Records that a request was sent to the backend server.
     *
     * @param overdueMillis time in milliseconds after which its response is overdue
     * @return the request, to pass to {@link #ended}
     */
    public InFlightRequest dispatched(long overdueMillis) {
        long now = mClock.nanoTime();
        InFlightRequest request =
                new InFlightRequest(now, TimeUnit.MILLISECONDS.toNanos(overdueMillis));
        mInFlight.add(request);
        return request;
    }

    /**
     * Records the end of a request. Further calls for the same request have no effect.
     *
     * @param request the request
     * @param result how the request ended
     */
    public void ended(InFlightRequest request, Result result) {
        if (!mInFlight.remove(request)) {
            return;
        }
        long now = mClock.nanoTime();
        switch (result) {
            case SUCCEEDED -> {
                mFailures = 0;
                if (!mSucceeded || request.mDispatchNanos - mLastSuccessDispatchNanos > 0) {
                    mSucceeded = true;
                    mLastSuccessDispatchNanos = request.mDispatchNanos;
                }
            }
            case FAILED -> {
                mFailures++;
                mFailedNanos = now;
                recordStall(request, now);
            }
            case CANCELLED -> recordStall(request, now);
        }
    }

    /** Keeps the evidence of a request that was overdue when it ended. */
    private void recordStall(InFlightRequest request, long now) {
        long overdueAt = request.mDispatchNanos + request.mOverdueNanos;
        boolean newer = !mStalled || request.mDispatchNanos - mStalledDispatchNanos > 0;
        if (now - overdueAt >= 0 && newer) {
            mStalled = true;
            mStalledDispatchNanos = request.mDispatchNanos;
            mStalledUntilNanos = overdueAt + EVIDENCE_LIFETIME_NANOS;
        }
    }

    /**
     * Returns whether the newest evidence is against the backend server.
     *
     * @return true when requests should be sent to other servers
     */
    public boolean isSuspect() {
        long now = mClock.nanoTime();
        if (mFailures >= FAILURE_THRESHOLD && now - mFailedNanos < FAILURE_WINDOW_NANOS) {
            return true;
        }
        if (mStalled && now - mStalledUntilNanos < 0 && isAfterLastSuccess(mStalledDispatchNanos)) {
            return true;
        }
        for (InFlightRequest request : mInFlight) {
            long overdue = now - request.mDispatchNanos - request.mOverdueNanos;
            if (overdue >= 0
                    && overdue < EVIDENCE_LIFETIME_NANOS
                    && isAfterLastSuccess(request.mDispatchNanos)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether there is no evidence against the backend server since its last success: no
     * failure, no overdue request and no in-flight request that is slower than most. Requests that
     * must not be repeated are sent to proven servers first.
     *
     * @return true when the server is as likely to complete a request as any other server
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
        for (InFlightRequest request : mInFlight) {
            long slowNanos = (long) (request.mOverdueNanos * SLOW_SHARE);
            if (now - request.mDispatchNanos >= slowNanos
                    && isAfterLastSuccess(request.mDispatchNanos)) {
                return false;
            }
        }
        return true;
    }

    private boolean isAfterLastSuccess(long dispatchNanos) {
        return !mSucceeded || dispatchNanos - mLastSuccessDispatchNanos > 0;
    }

    /**
     * Permits one trial request to a suspect backend server in each interval of 400 ms. The request
     * must be safe to repeat.
     *
     * @return true when the request may be sent
     */
    public boolean tryAcquireTrial() {
        long now = mClock.nanoTime();
        if (mTrialSent && now - mLastTrialNanos < TRIAL_INTERVAL_NANOS) {
            return false;
        }
        mTrialSent = true;
        mLastTrialNanos = now;
        return true;
    }
}
