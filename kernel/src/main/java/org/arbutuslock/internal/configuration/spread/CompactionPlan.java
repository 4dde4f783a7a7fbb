package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides when a watcher writes a snapshot to the store. The delays of the watchers differ, so that
 * the snapshot of the first one makes the others needless.
 */
final class CompactionPlan {
    private static final long LONGEST_DELAY_NANOS = Duration.ofSeconds(120).toNanos();

    private final RandomGenerator mRandom;
    private boolean mPlanned;
    private long mDueNanos;
    private long mRevision;

    CompactionPlan(RandomGenerator random) {
        mRandom = random;
    }

    boolean isDue(long revision, long now) {
        if (!mPlanned && revision - mRevision >= ConfigurationSpread.CHANGES_PER_SNAPSHOT) {
            mPlanned = true;
            mDueNanos = now + mRandom.nextLong(LONGEST_DELAY_NANOS);
        }
        if (!mPlanned || now - mDueNanos < 0) {
            return false;
        }
        mPlanned = false;
        mRevision = revision;
        return true;
    }
}
