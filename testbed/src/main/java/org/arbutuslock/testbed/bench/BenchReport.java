package org.arbutuslock.testbed.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Report of one benchmark run: figures, the bounds that some of them must meet, and plots. */
final class BenchReport {
    private final String mName;
    private final long mSeed;
    private final List<BenchRow> mRows = new ArrayList<>();
    private final List<BenchPlot> mPlots = new ArrayList<>();
    private final Map<String, Object> mDetails = new LinkedHashMap<>();

    BenchReport(String name, long seed) {
        mName = name;
        mSeed = seed;
    }

    String name() {
        return mName;
    }

    List<BenchRow> rows() {
        return mRows;
    }

    List<BenchPlot> plots() {
        return mPlots;
    }

    /** Prints progress of the run to standard error. */
    void progress(String text) {
        System.err.println(mName + ": " + text);
    }

    void figure(String name, double value, String unit) {
        mRows.add(new BenchRow(name, value, unit, "", true));
    }

    void atMost(String name, double value, double bound, String unit) {
        mRows.add(new BenchRow(name, value, unit, "at most " + format(bound), value <= bound));
    }

    void atLeast(String name, double value, double bound, String unit) {
        mRows.add(new BenchRow(name, value, unit, "at least " + format(bound), value >= bound));
    }

    void below(String name, double value, double bound, String unit) {
        mRows.add(new BenchRow(name, value, unit, "below " + format(bound), value < bound));
    }

    /** Formats a bound without an exponent or trailing zeros. */
    private static String format(double bound) {
        return BigDecimal.valueOf(bound).stripTrailingZeros().toPlainString();
    }

    /** Adds a row for a run that did not complete; the row counts as a missed bound. */
    void failure(String reason) {
        mRows.add(new BenchRow(reason, Double.NaN, "", "must complete", false));
    }

    /** Adds an empty plot. Its title is also part of the file name. */
    BenchPlot plot(String title, String horizontal, String vertical) {
        BenchPlot plot = new BenchPlot(title, horizontal, vertical);
        mPlots.add(plot);
        return plot;
    }

    /** Adds a field that appears only in the JSON report. */
    void detail(String name, Object value) {
        mDetails.put(name, value);
    }

    /** Returns whether all bounds are met. A report without rows counts as failed. */
    boolean meetsBounds() {
        return !mRows.isEmpty() && mRows.stream().allMatch(BenchRow::passed);
    }

    String toText() {
        StringBuilder text = new StringBuilder();
        text.append(mName).append(" seed ").append(mSeed).append('\n');
        mRows.forEach(row -> text.append(row.toText()));
        return text.append(meetsBounds() ? "all bounds met" : "a bound was missed").toString();
    }

    Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("bench", mName);
        fields.put("seed", mSeed);
        fields.put("boundsMet", meetsBounds());
        fields.put("figures", mRows);
        fields.putAll(mDetails);
        return fields;
    }

    String toJson() throws JsonProcessingException {
        return new ObjectMapper().writeValueAsString(toFields());
    }
}
