package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.arbutuslock.api.Clock;
import org.arbutuslock.internal.retry.RetryBudget;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Keeps this node's part of the retry budgets that all nodes share. The ratio applies to the
 * requests that this node took; the fixed part is divided by the number of nodes, so that the sum
 * over all nodes holds without coordination. Every submission after the first counts.
 */
public final class FleetRetryPolicy implements RetryPolicy {
    // A retried request repeats the calls that the backend server makes for it, which count as
    // retries of another service; this share of the budget is left for them.
    private static final double OWN_SHARE = 0.6;
    // A sliding window can hold one bucket more than the budget sees.
    private static final double WINDOW_MARGIN = 1.1;
    // A node that has just started, or is cut off, knows few others.
    private static final int FEWEST_NODES = 24;
    private static final int WHOLE_PERCENT = 100;

    private final Clock mClock;
    private final LiveSettings mSettings;
    private final IntSupplier mNodes;
    private final AtomicInteger mMostNodes = new AtomicInteger(FEWEST_NODES);
    private final ConcurrentHashMap<String, RetryBudget> mBudgets = new ConcurrentHashMap<>();

    /**
     * Creates full budgets.
     *
     * @param clock time of the sliding window
     * @param settings budget of the whole fleet
     * @param nodes counts the nodes that this node knows, itself included
     */
    public FleetRetryPolicy(Clock clock, LiveSettings settings, IntSupplier nodes) {
        mClock = clock;
        mSettings = settings;
        mNodes = nodes;
    }

    @Override
    public void firstAttempt(String service) {
        budget(service).recordFirstAttempt();
    }

    @Override
    public boolean allowRetry(String service) {
        int nodes = mMostNodes.accumulateAndGet(mNodes.getAsInt(), Math::max);
        return budget(service)
                .tryRetry((int) (mSettings.current().bounds().retryExtra() * OWN_SHARE / nodes));
    }

    @Override
    public boolean allowResend(String service) {
        return allowRetry(service);
    }

    private RetryBudget budget(String service) {
        return mBudgets.computeIfAbsent(service, name -> create());
    }

    private RetryBudget create() {
        NodeSettings.Bounds bounds = mSettings.current().bounds();
        int percent = (int) (bounds.retryRatio() * OWN_SHARE * WHOLE_PERCENT);
        long windowMillis = (long) (bounds.retryWindowSeconds() * WINDOW_MARGIN * 1_000);
        return new RetryBudget(mClock, percent, 0, Duration.ofMillis(windowMillis));
    }
}
