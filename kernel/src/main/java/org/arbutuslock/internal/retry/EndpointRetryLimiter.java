package org.arbutuslock.internal.retry;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * One endpoint's part of a retry budget that a whole fleet shares. The ratio applies to the
 * requests that reached the endpoint; the fixed part is divided by the number of endpoints of the
 * service, so that the sum over all home nodes holds without coordination. An entry node that is
 * refused here asks other endpoints, so that parts which are not needed are not lost.
 */
public final class EndpointRetryLimiter implements RetryLimiter {
    // A repeated request repeats the calls that the backend server makes for it, which count as
    // repeats of another service; this share of the budget is left for them.
    private static final double OWN_SHARE = 0.6;
    // A sliding window can hold one bucket more than the budget sees.
    private static final double WINDOW_MARGIN = 1.1;
    // A node that has just started, or is cut off, knows few other endpoints.
    private static final int FEWEST_ENDPOINTS = 4;
    private static final int WHOLE_PERCENT = 100;

    private final Clock mClock;
    private final long mStartNanos;
    private final Supplier<NodeSettings.Bounds> mBounds;
    private final IntSupplier mEndpoints;
    private final AtomicInteger mMostEndpoints = new AtomicInteger(FEWEST_ENDPOINTS);
    private final RetryBudget mBudget;

    /**
     * Creates a budget whose fixed part grows from nothing within one window, since an endpoint
     * that this one replaces may have used up its own part.
     *
     * @param clock time of the sliding window
     * @param bounds budget of the whole fleet; its fixed part may change while the node runs
     * @param endpoints counts the endpoints of the service that are known
     */
    public EndpointRetryLimiter(
            Clock clock, Supplier<NodeSettings.Bounds> bounds, IntSupplier endpoints) {
        mClock = clock;
        mStartNanos = clock.nanoTime();
        mBounds = bounds;
        NodeSettings.Bounds first = bounds.get();
        mEndpoints = endpoints;
        int percent = (int) (first.retryRatio() * OWN_SHARE * WHOLE_PERCENT);
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
        double grown = Math.min(1, ageSeconds / bounds.retryWindowSeconds());
        return mBudget.tryRetry(bounds.retryExtra() * OWN_SHARE * grown / endpoints);
    }
}
