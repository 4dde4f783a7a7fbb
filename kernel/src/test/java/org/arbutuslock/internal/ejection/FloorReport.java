package org.arbutuslock.internal.ejection;

/** Aggregated results of one or more {@link FloorSimulation} runs. */
final class FloorReport {
    long mSteps;
    long mDepartures;
    long mExcusedDepartures;
    long mViolations;
    long mShortages;
    long mLongestShortageNanos;
    long mShortageViolations;

    void recordDeparture(int inService, int excused, int floor) {
        mDepartures++;
        if (inService + excused < floor) {
            mViolations++;
        } else if (inService < floor) {
            mExcusedDepartures++;
        }
    }

    void recordShortage(boolean begins, long sinceFaultNanos, boolean tooLong) {
        mShortages += begins ? 1 : 0;
        mShortageViolations += tooLong ? 1 : 0;
        mLongestShortageNanos = Math.max(mLongestShortageNanos, sinceFaultNanos);
    }

    void add(FloorReport other) {
        mSteps += other.mSteps;
        mDepartures += other.mDepartures;
        mExcusedDepartures += other.mExcusedDepartures;
        mViolations += other.mViolations;
        mShortages += other.mShortages;
        mLongestShortageNanos = Math.max(mLongestShortageNanos, other.mLongestShortageNanos);
        mShortageViolations += other.mShortageViolations;
    }

    @Override
    public String toString() {
        return String.format(
                "%d steps, %d departures by choice, %d of them below the floor within the window,"
                        + " %d violations; %d shortages while out of service, longest %.2f s after"
                        + " the last fault, %d beyond the bound",
                mSteps,
                mDepartures,
                mExcusedDepartures,
                mViolations,
                mShortages,
                mLongestShortageNanos / 1e9,
                mShortageViolations);
    }
}
