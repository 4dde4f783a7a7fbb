package org.arbutuslock.cli.internal;

import java.time.Duration;

/** Time by which a command must end. */
final class Deadline {
    private final Pacing mPacing;
    private final long mEndNanos;

    Deadline(Pacing pacing, Duration timeout) {
        mPacing = pacing;
        mEndNanos = pacing.nanoTime() + timeout.toNanos();
    }

    long remainingNanos() {
        return Math.max(0, mEndNanos - mPacing.nanoTime());
    }

    boolean hasPassed() {
        return remainingNanos() == 0;
    }

    /** Blocks for the duration or until the deadline, whichever comes first. */
    void pause(Duration duration) {
        mPacing.pause(Duration.ofNanos(Math.min(duration.toNanos(), remainingNanos())));
    }
}
