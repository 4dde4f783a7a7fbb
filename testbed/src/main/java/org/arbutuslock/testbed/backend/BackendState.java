package org.arbutuslock.testbed.backend;

import java.util.SplittableRandom;
import org.arbutuslock.api.Clock;

/** State that all connections of one backend server share. */
final class BackendState {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final BackendSettings mSettings;
    private final Clock mClock;
    private final long mStartedAtNanos;
    private final SplittableRandom mRandom;
    private final WorkQueue mQueue;
    private final ExecutionRecord mExecutions = new ExecutionRecord();
    private volatile TimedFaults mFaults;
    private volatile boolean mDraining;
    private volatile long mCancelled;
    private volatile long mShed;

    private record TimedFaults(BackendFaults faults, long setAtNanos) {}

    BackendState(BackendSettings settings, Clock clock) {
        mSettings = settings;
        mClock = clock;
        mStartedAtNanos = clock.nanoTime();
        mRandom = new SplittableRandom(settings.seed());
        mQueue = new WorkQueue(settings.slots(), settings.queueLimit());
        setFaults(BackendFaults.none());
    }

    BackendSettings settings() {
        return mSettings;
    }

    WorkQueue queue() {
        return mQueue;
    }

    ExecutionRecord executions() {
        return mExecutions;
    }

    BackendFaults faults() {
        return mFaults.faults();
    }

    void setFaults(BackendFaults faults) {
        mFaults = new TimedFaults(faults, mClock.nanoTime());
    }

    BackendFaults activeFaults() {
        TimedFaults current = mFaults;
        long elapsedMillis = (mClock.nanoTime() - current.setAtNanos()) / NANOS_PER_MILLI;
        return current.faults().activeAfter(elapsedMillis);
    }

    double draw() {
        return mRandom.nextDouble();
    }

    /**
     * Returns the current factor on service times. It falls linearly from its initial value to 1
     * during the cold start.
     */
    double coldStartFactor() {
        WorkTimes times = mSettings.times();
        double elapsedMillis = (mClock.nanoTime() - mStartedAtNanos) / (double) NANOS_PER_MILLI;
        if (elapsedMillis >= times.coldStartMillis()) {
            return 1;
        }
        double remaining = 1 - elapsedMillis / times.coldStartMillis();
        return 1 + (times.coldStartFactor() - 1) * remaining;
    }

    boolean isDraining() {
        return mDraining;
    }

    void startDraining() {
        mDraining = true;
    }

    // Only the event loop of the server writes mCancelled and mShed, so that the increments need no
    // lock.

    void countCancelled() {
        mCancelled = mCancelled + 1;
    }

    void countShed() {
        mShed = mShed + 1;
    }

    long cancelled() {
        return mCancelled;
    }

    long shed() {
        return mShed;
    }
}
