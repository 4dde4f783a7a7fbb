package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides when a watcher writes a snapshot to the store. The delays of the watchers differ, so that
 * the snapshot of the first one makes the others needless.
 */
final class CompactionSchedule {
    private static final long MAXIMUM_DELAY_NANOS = Duration.ofSeconds(120).toNanos();

    private final RandomGenerator mRandom;
    private boolean mScheduled;
    private long mDueNanos;
    private long mRevision;

    CompactionSchedule(RandomGenerator random) {
        mRandom = random;
    }

    boolean isDue(long revision, long now) {
        if (!mScheduled && revision - mRevision >= ConfigurationSpread.CHANGES_PER_SNAPSHOT) {
            mScheduled = true;
            mDueNanos = now + mRandom.nextLong(MAXIMUM_DELAY_NANOS);
        }
        if (!mScheduled || now - mDueNanos < 0) {
            return false;
        }
        mScheduled = false;
        mRevision = revision;
        return true;
    }
}
