package org.arbutuslock.internal.retry;

import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.ToLongFunction;
import org.arbutuslock.api.Clock;

/**
 * Limits the retries of one service to a share of its first attempts in a sliding window. Thread
 * safe and lock-free: each call replaces one immutable state.
 *
 * <pre>{@code
 * budget.recordFirstAttempt();
 * if (budget.tryRetry()) {
 *     submitAgain();
 * }
 * }</pre>
 */
public final class RetryBudget {
    private static final int BUCKETS = 10;
    private static final int WHOLE_PERCENT = 100;

    /** Counts of each bucket, newest last. The arrays are not modified after publication. */
    private record State(long bucket, int[] firstAttempts, int[] retries) {}

    private final Clock mClock;
    private final int mRetryPercent;
    private final int mMinimumRetries;
    private final long mBucketNanos;
    private final long mStartNanos;
    private final AtomicReference<State> mState =
            new AtomicReference<>(new State(0, new int[BUCKETS], new int[BUCKETS]));

    /**
     * Creates an empty budget.
     *
     * @param clock clock of the window
     * @param retryPercent allowed retries in percent of the first attempts, 0 to 100
     * @param minimumRetries retries allowed in each window regardless of the number of first
     *     attempts; ignored when {@code retryPercent} is 0
     * @param window length of the sliding window
     */
    public RetryBudget(Clock clock, int retryPercent, int minimumRetries, Duration window) {
        mClock = clock;
        mRetryPercent = retryPercent;
        mMinimumRetries = retryPercent == 0 ? 0 : minimumRetries;
        mBucketNanos = Math.max(1, window.toNanos() / BUCKETS);
        mStartNanos = clock.nanoTime();
    }

    /** Counts a request that is sent for the first time. */
    public void recordFirstAttempt() {
        State current = mState.get();
        while (!mState.compareAndSet(current, addFirstAttempt(advance(current)))) {
            current = mState.get();
        }
    }

    /**
     * Takes one retry from the budget.
     *
     * @return true when the retry may be sent; it then counts against the budget
     */
    public boolean tryRetry() {
        return tryRetry(this::allowedRetries);
    }

    /**
     * Takes one retry from the budget, which is raised by a fixed number of retries. The minimum
     * number of retries is not applied.
     *
     * @param extraRetries retries allowed in each window in addition to the share of first
     *     attempts, at least 0
     * @return true when the retry may be sent; it then counts against the budget
     */
    public boolean tryRetry(double extraRetries) {
        return tryRetry(state -> (long) (exactShare(state) + extraRetries));
    }

    private boolean tryRetry(ToLongFunction<State> allowed) {
        while (true) {
            State current = mState.get();
            State advanced = advance(current);
            if (sum(advanced.retries()) >= allowed.applyAsLong(advanced)) {
                return false;
            }
            if (mState.compareAndSet(current, addRetry(advanced))) {
                return true;
            }
        }
    }

    private long allowedRetries(State state) {
        return Math.max(mMinimumRetries, share(state));
    }

    private long share(State state) {
        return (long) exactShare(state);
    }

    private double exactShare(State state) {
        return sum(state.firstAttempts()) * mRetryPercent / (double) WHOLE_PERCENT;
    }

    private State advance(State state) {
        long bucket = (mClock.nanoTime() - mStartNanos) / mBucketNanos;
        // The difference is negative if another thread has already advanced to a later bucket.
        int steps = Math.clamp(bucket - state.bucket(), 0, BUCKETS);
        return steps == 0
                ? state
                : new State(
                        bucket, shift(state.firstAttempts(), steps), shift(state.retries(), steps));
    }

    private static int[] shift(int[] counts, int steps) {
        return Arrays.copyOf(Arrays.copyOfRange(counts, steps, BUCKETS), BUCKETS);
    }

    private static State addFirstAttempt(State state) {
        return new State(state.bucket(), addOne(state.firstAttempts()), state.retries());
    }

    private static State addRetry(State state) {
        return new State(state.bucket(), state.firstAttempts(), addOne(state.retries()));
    }

    private static int[] addOne(int[] counts) {
        int[] copy = counts.clone();
        copy[BUCKETS - 1]++;
        return copy;
    }

    private static long sum(int[] counts) {
        long total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
