package org.arbutuslock.testbed.load;

import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;

/**
 * Generates the arrivals of a plan. They depend only on the plan and its seed, never on a response.
 */
final class ArrivalSchedule implements Iterator<Arrival> {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadPlan mPlan;
    private final SplittableRandom mRandom;
    private final double mTotalShare;
    private int mStep;
    private double mStepStartNanos;
    private double mNextNanos;
    private long mSequence;

    ArrivalSchedule(LoadPlan plan) {
        mPlan = plan;
        mRandom = new SplittableRandom(plan.seed());
        mTotalShare = plan.kinds().stream().mapToDouble(RequestKind::share).sum();
        skipFinishedSteps();
    }

    @Override
    public boolean hasNext() {
        return mStep < mPlan.steps().size() && mSequence < LoadPlan.MAXIMUM_REQUESTS;
    }

    @Override
    public Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException("the arrival schedule has no further arrival");
        }
        Arrival arrival = new Arrival(mSequence, (long) mNextNanos, mStep, drawKind());
        mSequence++;
        mNextNanos += drawInterval(mPlan.steps().get(mStep).requestsPerSecond());
        skipFinishedSteps();
        return arrival;
    }

    private void skipFinishedSteps() {
        while (mStep < mPlan.steps().size()) {
            double end = mStepStartNanos + mPlan.steps().get(mStep).duration().toNanos();
            if (mNextNanos < end) {
                return;
            }
            mStep++;
            mStepStartNanos = end;
            mNextNanos = end;
        }
    }

    private double drawInterval(double requestsPerSecond) {
        double mean = NANOS_PER_SECOND / requestsPerSecond;
        return switch (mPlan.arrivals()) {
            case UNIFORM -> mean;
            case POISSON -> -Math.log(1 - mRandom.nextDouble()) * mean;
        };
    }

    private int drawKind() {
        double draw = mRandom.nextDouble() * mTotalShare;
        int kind = 0;
        while (kind < mPlan.kinds().size() - 1) {
            draw -= mPlan.kinds().get(kind).share();
            if (draw < 0) {
                return kind;
            }
            kind++;
        }
        return kind;
    }
}
