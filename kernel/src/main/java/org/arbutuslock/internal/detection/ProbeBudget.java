package org.arbutuslock.internal.detection;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits health probes, each of which costs about 25 ms of server time. Normally
 * a probe is due every 5 s, and for a suspicious endpoint every 500 ms.
 */
final class ProbeBudget {
    private static final double REFILL_PER_SECOND = 0.2;
    private static final double CAPACITY = 30;
    private static final long NORMAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long SUSPECT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Request rate from which ordinary requests provide enough evidence without probes. */
    private static final double MAXIMUM_REQUESTS_PER_SECOND = 4;

    private double mTokens = CAPACITY;
    private long mRefilledNanos;
    private long mLastProbeNanos;

    ProbeBudget(long nowNanos) {
        mRefilledNanos = nowNanos;
        mLastProbeNanos = nowNanos;
    }

    /**
     * Takes a token if a probe is due.
     *
     * @param requestsPerSecond current rate of ordinary requests
     * @param suspect whether the endpoint is suspicious, which shortens the interval
     * @param nowNanos monotonic time
     * @return true when a probe must be sent now
     */
    boolean tryAcquire(double requestsPerSecond, boolean suspect, long nowNanos) {
        double seconds = (nowNanos - mRefilledNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        mTokens = Math.min(CAPACITY, mTokens + seconds * REFILL_PER_SECOND);
        mRefilledNanos = nowNanos;
        long intervalNanos = suspect ? SUSPECT_INTERVAL_NANOS : NORMAL_INTERVAL_NANOS;
        if (requestsPerSecond >= MAXIMUM_REQUESTS_PER_SECOND
                || mTokens < 1
                || nowNanos - mLastProbeNanos < intervalNanos) {
            return false;
        }
        mTokens--;
        mLastProbeNanos = nowNanos;
        return true;
    }
}
