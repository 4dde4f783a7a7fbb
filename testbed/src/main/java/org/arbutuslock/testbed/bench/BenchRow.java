package org.arbutuslock.testbed.bench;

import java.util.Locale;

/**
 * One line of a report.
 *
 * @param measure what was measured
 * @param figure the measured value
 * @param unit unit of the value
 * @param bound the bound in words, empty when there is none
 * @param passed whether the figure meets the bound
 */
record BenchRow(String measure, double figure, String unit, String bound, boolean passed) {
    String toText() {
        return String.format(
                Locale.ROOT,
                "  %-62s %16.3f %-12s %-18s %s%n",
                measure,
                figure,
                unit,
                bound,
                bound.isEmpty() ? "" : passed ? "met" : "MISSED");
    }
}
