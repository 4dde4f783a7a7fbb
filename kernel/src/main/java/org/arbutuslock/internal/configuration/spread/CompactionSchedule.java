package org.arbutuslock.internal.configuration.spread;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides when a watcher writes a snapshot to the store. Each watcher waits for a random delay, so
 * that usually one of them writes the snapshot and the others then find it up to date.
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

    /** Returns true once for each snapshot to write. Call it on every tick. */
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
