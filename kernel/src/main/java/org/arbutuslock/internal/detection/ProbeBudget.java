package org.arbutuslock.internal.detection;

import java.util.concurrent.TimeUnit;

/** Decides when a probe is worth its cost of about 25 ms of a server. */
final class ProbeBudget {
    private static final double REFILL_PER_SECOND = 0.2;
    private static final double CAPACITY = 30;
    private static final long NORMAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long SUSPECT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Above this rate ordinary requests give enough evidence. */
    private static final double MAXIMUM_REQUESTS_PER_SECOND = 4;

    private double mTokens = CAPACITY;
    private long mRefilledNanos;
    private long mLastProbeNanos;

    ProbeBudget(long nowNanos) {
        mRefilledNanos = nowNanos;
        mLastProbeNanos = nowNanos;
    }

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
