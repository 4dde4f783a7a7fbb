package org.arbutuslock.internal.configuration;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter. Each delay is random between half of a bound and the whole
 * bound, which doubles with each delay up to a maximum.
 */
final class RetryDelays {
    private final Duration mFirst;
    private final Duration mLongest;
    private final RandomGenerator mRandom;
    private Duration mBound;

    RetryDelays(Duration first, Duration longest, RandomGenerator random) {
        mFirst = first;
        mLongest = longest;
        mRandom = random;
        mBound = first;
    }

    synchronized Duration next() {
        long half = mBound.toNanos() / 2;
        Duration doubled = mBound.multipliedBy(2);
        mBound = doubled.compareTo(mLongest) > 0 ? mLongest : doubled;
        return Duration.ofNanos(half + mRandom.nextLong(half + 1));
    }

    synchronized void reset() {
        mBound = mFirst;
    }
}
