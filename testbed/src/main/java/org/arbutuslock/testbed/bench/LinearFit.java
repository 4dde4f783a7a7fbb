package org.arbutuslock.testbed.bench;

import java.util.Locale;

/**
 * Line through measured points, by least squares; level through the largest value when the points
 * fall.
 *
 * @param intercept value at zero
 * @param slope growth for each node
 */
record LinearFit(double intercept, double slope) {
    static LinearFit fit(double[] counts, double[] values) {
        double meanCount = java.util.Arrays.stream(counts).average().orElse(0);
        double meanValue = java.util.Arrays.stream(values).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (int index = 0; index < counts.length; index++) {
            covariance += (counts[index] - meanCount) * (values[index] - meanValue);
            variance += (counts[index] - meanCount) * (counts[index] - meanCount);
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        if (slope < 0) {
            // Shares of relays shrink with the fleet towards a limit; a falling line would not.
            return new LinearFit(java.util.Arrays.stream(values).max().orElse(0), 0);
        }
        return new LinearFit(meanValue - slope * meanCount, slope);
    }

    double at(double count) {
        return intercept + slope * count;
    }

    /** Shows the arithmetic of an extrapolation. */
    String explain(double count) {
        return String.format(
                Locale.ROOT, "%.4f + %.6f x %.0f nodes = %.3f", intercept, slope, count, at(count));
    }
}
