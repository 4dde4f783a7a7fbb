package org.arbutuslock.internal.ejection;

/** Raises the weight of an endpoint in steps after its start, its return or its recovery. */
final class RampingWeight {
    static final int FULL_PERCENT = 100;
    private static final int STEP_PERCENT = 10;

    private final long mRampNanos;
    private boolean mRamping;
    private long mRampStartNanos;

    RampingWeight(long rampNanos) {
        mRampNanos = rampNanos;
    }

    void startRamp(long nowNanos) {
        mRamping = true;
        mRampStartNanos = nowNanos;
    }

    void stopRamp() {
        mRamping = false;
    }

    boolean isRamping() {
        return mRamping;
    }

    int percentAt(long nowNanos) {
        long elapsedNanos = nowNanos - mRampStartNanos;
        if (!mRamping || elapsedNanos >= mRampNanos) {
            mRamping = false;
            return FULL_PERCENT;
        }
        return ramp(elapsedNanos, mRampNanos);
    }

    /** Returns the weight during a ramp, rounded down to a multiple of 10%. */
    static int ramp(long elapsedNanos, long durationNanos) {
        long range = FULL_PERCENT - EjectionCoordinator.MINIMUM_WEIGHT_PERCENT;
        long percent =
                EjectionCoordinator.MINIMUM_WEIGHT_PERCENT + range * elapsedNanos / durationNanos;
        return (int) (percent / STEP_PERCENT * STEP_PERCENT);
    }
}
