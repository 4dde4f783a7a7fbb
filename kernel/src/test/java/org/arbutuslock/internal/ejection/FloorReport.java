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

    /**
     * Records that an endpoint left service by choice, that is by ejection or drain.
     *
     * @param inService number of other endpoints in service
     * @param excused number of other endpoints that are out of service and had a fault within the
     *     window for which a reservation counts
     * @param floor number of endpoints that must stay in service
     */
    void recordDeparture(int inService, int excused, int floor) {
        mDepartures++;
        if (inService + excused < floor) {
            mViolations++;
        } else if (inService < floor) {
            mExcusedDepartures++;
        }
    }

    /**
     * Records a step in which fewer endpoints than the floor are in service while at least one is
     * out of service by choice.
     *
     * @param begins true in the first step of the shortage
     * @param sinceFaultNanos time since the last fault of any endpoint
     * @param tooLong true when the shortage lasts longer than the bound allows
     */
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
