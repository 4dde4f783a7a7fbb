package org.arbutuslock.testbed.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Figures of one run of a benchmark and the bounds that some of them must meet. */
final class BenchReport {
    private final String mName;
    private final long mSeed;
    private final List<Figure> mFigures = new ArrayList<>();
    private final Map<String, Object> mDetails = new LinkedHashMap<>();

    private record Figure(String name, double value, String unit, String bound, boolean met) {}

    BenchReport(String name, long seed) {
        mName = name;
        mSeed = seed;
    }

    /** Tells people at the terminal how far the run is. */
    void progress(String text) {
        System.err.println(mName + ": " + text);
    }

    void figure(String name, double value, String unit) {
        mFigures.add(new Figure(name, value, unit, "", true));
    }

    void atMost(String name, double value, double bound, String unit) {
        mFigures.add(new Figure(name, value, unit, "at most " + bound, value <= bound));
    }

    void atLeast(String name, double value, double bound, String unit) {
        mFigures.add(new Figure(name, value, unit, "at least " + bound, value >= bound));
    }

    /** Adds what only the report for programs holds. */
    void detail(String name, Object value) {
        mDetails.put(name, value);
    }

    boolean meetsBounds() {
        return !mFigures.isEmpty() && mFigures.stream().allMatch(Figure::met);
    }

    String toText() {
        StringBuilder text = new StringBuilder();
        text.append(mName).append(" seed ").append(mSeed).append('\n');
        for (Figure figure : mFigures) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %-58s %12.3f %-10s %-18s %s%n",
                            figure.name(),
                            figure.value(),
                            figure.unit(),
                            figure.bound(),
                            figure.bound().isEmpty() ? "" : figure.met() ? "met" : "MISSED"));
        }
        return text.append(meetsBounds() ? "all bounds met" : "a bound was missed").toString();
    }

    String toJson() throws JsonProcessingException {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("bench", mName);
        fields.put("seed", mSeed);
        fields.put("boundsMet", meetsBounds());
        fields.put("figures", mFigures);
        fields.putAll(mDetails);
        return new ObjectMapper().writeValueAsString(fields);
    }
}
