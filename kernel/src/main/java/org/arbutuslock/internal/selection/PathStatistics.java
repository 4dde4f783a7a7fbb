package org.arbutuslock.internal.selection;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.WorkClass;

/**
 * Statistics of the path from one entry node to one endpoint. Thread safe.
 *
 * <pre>{@code
 * path.recordSubmit();
 * ...
 * path.recordResponse(WorkClass.SHORT, latencyNanos, report);
 * }</pre>
 */
public final class PathStatistics {
    private static final int SAMPLE_SHIFT = 3; // A new sample has a weight of 1/8.
    private static final long REPORT_MAXIMUM_AGE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int FAILURES_TO_AVOID = 3;
    private static final long FIRST_AVOIDANCE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAXIMUM_DOUBLINGS = 4;
    // Assumed before the first response, for short and long work. Lower than real latencies, since
    // an endpoint that looks slower than the measured ones would never be chosen and never
    // measured.
    private static final long[] ASSUMED_LATENCY_NANOS = {1_000_000, 5_000_000};
    // The latency is halved in each such period without a new sample, so that an endpoint that was
    // slow once is tried again.
    private static final long HALF_LIFE_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int MAXIMUM_HALVINGS = 10;
    // Short, since asking again is cheap: the home node of a suspect endpoint refuses within one
    // round trip.
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

    /** Ends a request whose end says nothing about the path, for example a cancelled one. */
    public void recordInconclusive() {
        mOutstanding.decrementAndGet();
    }

    /**
     * Ends a request with a complete response.
     *
     * @param workClass work class of the request
     * @param latencyNanos time from sending to the complete response, without the time in the queue
     *     that the home node reported
     * @param report load report of the response
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
     * @param report load report of the refusal
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

    /** Ends a request whose session failed or stopped responding. */
    public void recordPathFailure() {
        mOutstanding.decrementAndGet();
        recordConnectionFailure();
    }

    /** Records a path failure that did not end a request, such as a refused connection. */
    public void recordConnectionFailure() {
        int failures = mFailures.incrementAndGet();
        if (failures >= FAILURES_TO_AVOID) {
            int doublings = Math.min(failures - FAILURES_TO_AVOID, MAXIMUM_DOUBLINGS);
            mAvoidUntilNanos = mClock.nanoTime() + (FIRST_AVOIDANCE_NANOS << doublings);
        }
    }

    /**
     * Records that the home node considers the endpoint suspect, so that other endpoints are tried
     * first.
     */
    public void recordSuspectRefusal() {
        mSuspectUntilNanos = mClock.nanoTime() + SUSPICION_NANOS;
        mSuspected = true;
    }

    boolean isSuspect(long now) {
        return mSuspected && mSuspectUntilNanos - now > 0;
    }

    /**
     * Returns true while this node avoids the path because of repeated failures. It still sends
     * requests on the path if too few other endpoints remain for the floor.
     */
    boolean isAvoided(long now) {
        return mFailures.get() >= FAILURES_TO_AVOID && mAvoidUntilNanos - now > 0;
    }

    /**
     * Returns the factor, 0 to 1, by which failures and suspicion reduce the weight of the
     * endpoint. It is 0 only for an avoided path, and only if {@code canAvoid} states that enough
     * other endpoints remain for the floor.
     */
    double weightFactor(long now, boolean canAvoid) {
        if (isSuspect(now)) {
            return SUSPECT_FACTOR;
        }
        if (mFailures.get() < FAILURES_TO_AVOID) {
            return FULL_FACTOR;
        }
        return canAvoid && isAvoided(now) ? 0 : REDUCED_FACTOR;
    }

    /** Returns true when a response is expected within twice the usual latency. */
    boolean isUncongested(WorkClass workClass, long now) {
        return expectedNanos(workClass, now) <= 2 * latencyNanos(workClass, now);
    }

    private long latencyNanos(WorkClass workClass, long now) {
        int index = workClass.ordinal();
        long unsampled = Math.max(0, now - mSampledNanos.get(index));
        long halvings = Math.min(MAXIMUM_HALVINGS, unsampled / HALF_LIFE_NANOS);
        return mLatencyNanos.get(index) >> halvings;
    }

    /**
     * Estimates the time until the response to a request that is sent now, without network latency.
     */
    long expectedNanos(WorkClass workClass, long now) {
        long latency = latencyNanos(workClass, now);
        int outstanding = mOutstanding.get();
        TimedReport timed = mReport;
        if (timed == null || now - timed.receivedNanos() > REPORT_MAXIMUM_AGE_NANOS) {
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
     * @return requests that this node sent on the path and that have not ended
     */
    public int outstanding() {
        return mOutstanding.get();
    }
}
