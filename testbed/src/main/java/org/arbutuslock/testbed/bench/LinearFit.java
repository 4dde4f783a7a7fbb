package org.arbutuslock.testbed.bench;

import java.util.Locale;

/**
 * Least-squares line through values measured at several node counts. When the values fall with the
 * node count, the line is constant at the largest value.
 *
 * @param intercept value at zero nodes
 * @param slope increase per node, never negative
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
            // A node's share of the relay work falls towards a limit; a falling line has no limit.
            return new LinearFit(java.util.Arrays.stream(values).max().orElse(0), 0);
        }
        return new LinearFit(meanValue - slope * meanCount, slope);
    }

    double at(double count) {
        return intercept + slope * count;
    }

    /** Formats the extrapolation to a node count as a formula with its result. */
    String explain(double count) {
        return String.format(
                Locale.ROOT, "%.4f + %.6f x %.0f nodes = %.3f", intercept, slope, count, at(count));
    }
}
