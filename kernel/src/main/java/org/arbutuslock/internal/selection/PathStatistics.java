package org.arbutuslock.internal.selection;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.WorkClass;

/**
 * What one entry node observes on its path to one endpoint. Thread safe.
 *
 * <pre>{@code
 * path.recordSubmit();
 * ...
 * path.recordResponse(WorkClass.SHORT, latencyNanos, report);
 * }</pre>
 */
public final class PathStatistics {
    private static final int SAMPLE_SHIFT = 3; // A sample counts one eighth.
    private static final long REPORT_LIFE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int FAILURES_TO_AVOID = 3;
    private static final long FIRST_AVOIDANCE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAXIMUM_DOUBLINGS = 4;
    // Assumed before the first response. Below what servers need, since an endpoint that looks
    // worse
    // than the measured ones would never be chosen and so never be measured.
    private static final long[] ASSUMED_LATENCY_NANOS = {1_000_000, 5_000_000};
    // A latency without new samples is halved in this time, so that an endpoint that was slow once
    // is tried again.
    private static final long HALF_LIFE_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAXIMUM_HALVINGS = 10;
    // The home node refuses within a round trip, so that a suspicion is asked about often.
    private static final long SUSPICION_NANOS = Duration.ofMillis(400).toNanos();
    private static final double SUSPECT_FACTOR = 0.02;
    private static final double FULL_FACTOR = 1.0;
    private static final double REDUCED_FACTOR = 0.1;

    private record TimedReport(LoadReport report, int outstanding, long receivedNanos) {}

    private final Clock mClock;
    private final AtomicInteger mOutstanding = new AtomicInteger();
    private final AtomicLongArray mLatencyNanos = new AtomicLongArray(ASSUMED_LATENCY_NANOS);
    private final AtomicLongArray mSampledNanos = new AtomicLongArray(2);
    private final AtomicInteger mFailures = new AtomicInteger();
    private volatile TimedReport mReport;
    private volatile long mAvoidUntilNanos;
    private volatile long mSuspectUntilNanos;
    private volatile boolean mSuspected;

    /**
     * Creates statistics without observations.
     *
     * @param clock time for the age of observations
     */
    public PathStatistics(Clock clock) {
        mClock = clock;
        mAvoidUntilNanos = clock.nanoTime();
        for (int index = 0; index < mSampledNanos.length(); index++) {
            mSampledNanos.set(index, clock.nanoTime());
        }
    }

    /** Counts a request that is sent on this path. */
    public void recordSubmit() {
        mOutstanding.incrementAndGet();
    }

    /** Ends a request that says nothing about the path: cancelled or caller gone. */
    public void recordInconclusive() {
        mOutstanding.decrementAndGet();
    }

    /**
     * Ends a request with a response.
     *
     * @param workClass class of the request
     * @param latencyNanos time from sending to the complete response, without the wait in the queue
     *     that the home node reported
     * @param report load that came with the response
     */
    public void recordResponse(WorkClass workClass, long latencyNanos, LoadReport report) {
        int index = workClass.ordinal();
        mLatencyNanos.accumulateAndGet(
                index, latencyNanos, (old, sample) -> old + ((sample - old) >> SAMPLE_SHIFT));
        mSampledNanos.set(index, mClock.nanoTime());
        endWithReport(report);
    }

    /**
     * Ends a request that the home node refused.
     *
     * @param report load that came with the refusal
     */
    public void recordRefusal(LoadReport report) {
        endWithReport(report);
    }

    private void endWithReport(LoadReport report) {
        int outstanding = mOutstanding.decrementAndGet();
        mReport = new TimedReport(report, outstanding, mClock.nanoTime());
        if (mFailures.get() != 0) {
            mFailures.set(0);
        }
    }

    /** Ends a request whose session failed or became silent. */
    public void recordPathFailure() {
        mOutstanding.decrementAndGet();
        recordSilence();
    }

    /** Notes a fault of the path that ended no request, such as a refused connection. */
    public void recordSilence() {
        int failures = mFailures.incrementAndGet();
        if (failures >= FAILURES_TO_AVOID) {
            int doublings = Math.min(failures - FAILURES_TO_AVOID, MAXIMUM_DOUBLINGS);
            mAvoidUntilNanos = mClock.nanoTime() + (FIRST_AVOIDANCE_NANOS << doublings);
        }
    }

    /** True while this node sends nothing on the path if the floor permits. */
    /** Notes that the home node finds its endpoint suspect, so that others are tried first. */
    public void recordSuspectRefusal() {
        mSuspectUntilNanos = mClock.nanoTime() + SUSPICION_NANOS;
        mSuspected = true;
    }

    boolean isSuspect(long now) {
        return mSuspected && mSuspectUntilNanos - now > 0;
    }

    boolean isAvoided(long now) {
        return mFailures.get() >= FAILURES_TO_AVOID && mAvoidUntilNanos - now > 0;
    }

    /** Returns the share of the endpoint's weight that the path's condition leaves. */
    double weightFactor(long now, boolean mayAvoid) {
        if (isSuspect(now)) {
            return SUSPECT_FACTOR;
        }
        if (mFailures.get() < FAILURES_TO_AVOID) {
            return FULL_FACTOR;
        }
        return mayAvoid && isAvoided(now) ? 0 : REDUCED_FACTOR;
    }

    /** True when a request is expected to be answered within twice the usual latency. */
    boolean isUncongested(WorkClass workClass, long now) {
        return expectedNanos(workClass, now) <= 2 * latencyNanos(workClass, now);
    }

    private long latencyNanos(WorkClass workClass, long now) {
        int index = workClass.ordinal();
        long unsampled = Math.max(0, now - mSampledNanos.get(index));
        long halvings = Math.min(MAXIMUM_HALVINGS, unsampled / HALF_LIFE_NANOS);
        return mLatencyNanos.get(index) >> halvings;
    }

    /** Estimates the time until a request sent now is answered, without the network. */
    long expectedNanos(WorkClass workClass, long now) {
        long latency = latencyNanos(workClass, now);
        int outstanding = mOutstanding.get();
        TimedReport timed = mReport;
        if (timed == null || now - timed.receivedNanos() > REPORT_LIFE_NANOS) {
            return latency * (1 + outstanding);
        }
        LoadReport report = timed.report();
        long wait = workClass == WorkClass.SHORT ? report.shortWaitNanos() : report.longWaitNanos();
        int sentSince = Math.max(0, outstanding - timed.outstanding());
        return latency + wait + sentSince * latency / Math.max(1, report.limit());
    }

    /**
     * Returns the number of unfinished requests.
     *
     * @return requests that this node sent on the path
     */
    public int outstanding() {
        return mOutstanding.get();
    }
}
