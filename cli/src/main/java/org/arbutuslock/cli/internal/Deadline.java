package org.arbutuslock.cli.internal;

import java.time.Duration;

/** Time by which a command must end. */
final class Deadline {
    private final CommandClock mClock;
    private final long mEndNanos;

    Deadline(CommandClock clock, Duration timeout) {
        mClock = clock;
        mEndNanos = clock.nanoTime() + timeout.toNanos();
    }

    long remainingNanos() {
        return Math.max(0, mEndNanos - mClock.nanoTime());
    }

    boolean hasPassed() {
        return remainingNanos() == 0;
    }

    /** Blocks for the duration or until the deadline, whichever comes first. */
    void pause(Duration duration) {
        mClock.pause(Duration.ofNanos(Math.min(duration.toNanos(), remainingNanos())));
    }
}
