package org.arbutuslock.internal.retry;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Limits retries at one endpoint, so that all endpoints of a service together keep one retry budget
 * for the whole fleet. The ratio applies to the first attempts that reached this endpoint. The
 * fixed part is divided by the number of endpoints of the service, so that the sum over all home
 * nodes stays within the budget without coordination. An entry node that is refused here tries
 * other endpoints, so that the unused parts of those endpoints remain available.
 */
public final class EndpointRetryLimiter implements RetryLimiter {
    // A retried request makes its backend server repeat its own calls to other services, which
    // count as retries of those services. An endpoint uses only this share of the budget, so that
    // the rest covers those calls.
    private static final double DIRECT_RETRY_SHARE = 0.6;
    // RetryBudget counts whole buckets, ten for each window. A sliding window can overlap one
    // bucket more than the budget counts.
    private static final double WINDOW_MARGIN = 1.1;
    // Smallest divisor of the fixed part. A node that has just started or is partitioned knows few
    // other endpoints and would otherwise take too large a part.
    private static final int MINIMUM_ENDPOINTS = 4;
    private static final int WHOLE_PERCENT = 100;

    private final Clock mClock;
    private final long mStartNanos;
    private final Supplier<NodeSettings.Bounds> mBounds;
    private final IntSupplier mEndpoints;
    private final AtomicInteger mMostEndpoints = new AtomicInteger(MINIMUM_ENDPOINTS);
    private final RetryBudget mBudget;

    /**
     * Creates a limiter. Its fixed part grows linearly from 0 during the first window, since an
     * endpoint that this one replaces may have used up its own part.
     *
     * @param clock clock of the sliding window
     * @param bounds budget of the whole fleet; only its fixed part may change while the node runs
     * @param endpoints returns the number of known endpoints of the service
     */
    public EndpointRetryLimiter(
            Clock clock, Supplier<NodeSettings.Bounds> bounds, IntSupplier endpoints) {
        mClock = clock;
        mStartNanos = clock.nanoTime();
        mBounds = bounds;
        NodeSettings.Bounds first = bounds.get();
        mEndpoints = endpoints;
        int percent = (int) (first.retryRatio() * DIRECT_RETRY_SHARE * WHOLE_PERCENT);
        long windowMillis = (long) (first.retryWindowSeconds() * WINDOW_MARGIN * 1_000);
        mBudget = new RetryBudget(clock, percent, 0, Duration.ofMillis(windowMillis));
    }

    @Override
    public void recordFirstAttempt() {
        mBudget.recordFirstAttempt();
    }

    @Override
    public boolean tryRetry() {
        NodeSettings.Bounds bounds = mBounds.get();
        int endpoints = mMostEndpoints.accumulateAndGet(mEndpoints.getAsInt(), Math::max);
        double ageSeconds = (mClock.nanoTime() - mStartNanos) / 1e9;
        double rampUp = Math.min(1, ageSeconds / bounds.retryWindowSeconds());
        return mBudget.tryRetry(bounds.retryExtra() * DIRECT_RETRY_SHARE * rampUp / endpoints);
    }
}
