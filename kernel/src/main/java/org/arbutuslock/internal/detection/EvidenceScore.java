package org.arbutuslock.internal.detection;

/**
 * Cumulative sum (CUSUM) of log-likelihood ratios, also known as Page's test. Bad observations
 * increase the score and good ones decrease it, but not below zero.
 */
final class EvidenceScore {
    private double mScore;

    /**
     * Adds observations.
     *
     * @param bad number of bad observations
     * @param good number of good observations
     * @param baselineRate share of bad observations that a healthy endpoint has, above 0
     * @param faultyRate share of bad observations that a faulty endpoint has, above the baseline
     *     and below 1
     * @param weight factor of the change of the score
     */
    void add(int bad, int good, double baselineRate, double faultyRate, double weight) {
        double perBad = Math.log(faultyRate / baselineRate);
        double perGood = Math.log((1 - faultyRate) / (1 - baselineRate));
        mScore = Math.max(0, mScore + weight * (bad * perBad + good * perGood));
    }

    void decay(double factor) {
        mScore *= factor;
    }

    void limit(double highest) {
        mScore = Math.min(mScore, highest);
    }

    void reset() {
        mScore = 0;
    }

    double value() {
        return mScore;
    }
}
