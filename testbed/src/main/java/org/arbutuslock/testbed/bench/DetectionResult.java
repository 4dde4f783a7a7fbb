package org.arbutuslock.testbed.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Detection times and false ejections of one rule in one cell. */
final class DetectionResult {
    private static final double SECONDS_PER_HOUR = 3600;

    private final List<Double> mSeconds = new ArrayList<>();
    private double mDetectedSeconds = Double.POSITIVE_INFINITY;
    private long mFalseEjections;
    private long mServerSeconds;
    private long mProbes;

    void recordDetection(double seconds) {
        mDetectedSeconds = Math.min(mDetectedSeconds, seconds);
    }

    boolean isDetected() {
        return mDetectedSeconds < Double.POSITIVE_INFINITY;
    }

    void addFalseEjection() {
        mFalseEjections++;
    }

    void addProbe() {
        mProbes++;
    }

    void addServerSeconds(long seconds) {
        mServerSeconds += seconds;
    }

    /** Adds one run to this total. The detection time of an undetected fault is infinite. */
    void add(DetectionResult run) {
        mSeconds.add(run.mDetectedSeconds);
        mFalseEjections += run.mFalseEjections;
        mServerSeconds += run.mServerSeconds;
        mProbes += run.mProbes;
    }

    double detectionSeconds(double percent) {
        List<Double> sorted = new ArrayList<>(mSeconds);
        Collections.sort(sorted);
        int rank = (int) Math.ceil(percent / 100 * sorted.size());
        return sorted.get(Math.max(0, rank - 1));
    }

    double serverHours() {
        return mServerSeconds / SECONDS_PER_HOUR;
    }

    double falseEjectionsPer100Hours() {
        return 100 * mFalseEjections / serverHours();
    }

    double probesPerServerSecond() {
        return (double) mProbes / mServerSeconds;
    }
}
