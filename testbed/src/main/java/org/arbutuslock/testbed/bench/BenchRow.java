package org.arbutuslock.testbed.bench;

import java.util.Locale;

/**
 * One row of a report.
 *
 * @param measure what was measured
 * @param figure the measured value
 * @param unit unit of the value
 * @param bound the bound as text, such as {@code at most 5}; empty when there is none
 * @param passed whether the figure meets the bound; true when there is none
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
