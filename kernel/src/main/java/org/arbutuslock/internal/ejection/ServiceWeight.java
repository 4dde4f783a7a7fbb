package org.arbutuslock.internal.ejection;

/** Raises the weight of an endpoint in steps after its start, a return or an illness. */
final class ServiceWeight {
    static final int FULL_PERCENT = 100;
    private static final int STEP_PERCENT = 10;

    private final long mRampNanos;
    private boolean mRamping;
    private long mSinceNanos;

    ServiceWeight(long rampNanos) {
        mRampNanos = rampNanos;
    }

    void startRamp(long nowNanos) {
        mRamping = true;
        mSinceNanos = nowNanos;
    }

    void stopRamp() {
        mRamping = false;
    }

    boolean isRamping() {
        return mRamping;
    }

    int percentAt(long nowNanos) {
        long elapsedNanos = nowNanos - mSinceNanos;
        if (!mRamping || elapsedNanos >= mRampNanos) {
            mRamping = false;
            return FULL_PERCENT;
        }
        return ramp(elapsedNanos, mRampNanos);
    }

    static int ramp(long elapsedNanos, long durationNanos) {
        long range = FULL_PERCENT - EjectionCoordinator.LOWEST_WEIGHT_PERCENT;
        long percent =
                EjectionCoordinator.LOWEST_WEIGHT_PERCENT + range * elapsedNanos / durationNanos;
        return (int) (percent / STEP_PERCENT * STEP_PERCENT);
    }
}
