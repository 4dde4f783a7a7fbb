package org.arbutuslock.testbed.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of one run, by step and kind of request.
 *
 * <pre>{@code
 * double p99Micros = report.kind("lookup").successMicros().getValueAtPercentile(99);
 * }</pre>
 */
public final class LoadReport {
    private static final double MICROS_PER_MILLI = 1000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9};

    private final LoadPlan mPlan;
    private final List<List<KindReport>> mSteps = new ArrayList<>();
    private final List<Histogram> mSendDelayMicros = new ArrayList<>();

    LoadReport(LoadPlan plan) {
        mPlan = plan;
        for (int step = 0; step < plan.steps().size(); step++) {
            List<KindReport> kinds = new ArrayList<>();
            plan.kinds().forEach(kind -> kinds.add(new KindReport()));
            mSteps.add(kinds);
            mSendDelayMicros.add(new Histogram(SIGNIFICANT_DIGITS));
        }
    }

    void add(Arrival arrival, LoadSample sample) {
        mSteps.get(arrival.step()).get(arrival.kind()).add(sample);
    }

    void addSendDelay(Arrival arrival, long micros) {
        mSendDelayMicros.get(arrival.step()).recordValue(Math.max(0, micros));
    }

    void add(LoadReport other) {
        for (int step = 0; step < mSteps.size(); step++) {
            for (int kind = 0; kind < mPlan.kinds().size(); kind++) {
                mSteps.get(step).get(kind).add(other.mSteps.get(step).get(kind));
            }
            mSendDelayMicros.get(step).add(other.mSendDelayMicros.get(step));
        }
    }

    /**
     * Returns the report of one kind in one step.
     *
     * @param step index of the step in which the requests were due
     * @param name name of the kind
     * @return counts and latencies
     * @throws IllegalArgumentException if the plan has no such kind
     */
    public KindReport kind(int step, String name) {
        return mSteps.get(step).get(indexOf(name));
    }

    /**
     * Returns the report of one kind over all steps.
     *
     * @param name name of the kind
     * @return counts and latencies
     * @throws IllegalArgumentException if the plan has no such kind
     */
    public KindReport kind(String name) {
        int index = indexOf(name);
        KindReport sum = new KindReport();
        mSteps.forEach(step -> sum.add(step.get(index)));
        return sum;
    }

    /**
     * Returns the report of all kinds over all steps.
     *
     * @return counts and latencies
     */
    public KindReport total() {
        KindReport sum = new KindReport();
        mSteps.forEach(step -> step.forEach(sum::add));
        return sum;
    }

    /**
     * Returns the delay that the load generator itself added: the time from the intended send time
     * until a request was submitted to the connection pool. Latencies include this delay.
     *
     * @param step index of the step
     * @return microseconds
     */
    public Histogram sendDelayMicros(int step) {
        return mSendDelayMicros.get(step);
    }

    /**
     * Formats a table for people: one line per step and kind, one line for the whole run, the
     * statuses and outcomes, and the send delay of each step. Times are in milliseconds.
     *
     * @return several lines, the first of which is a header
     */
    public String toTable() {
        StringBuilder table = new StringBuilder();
        table.append(
                String.format(
                        Locale.ROOT,
                        "%4s %-16s %8s %8s %8s %6s %6s %7s %6s %9s %9s %9s %9s %9s%n",
                        "step",
                        "kind",
                        "requests",
                        "success",
                        "status",
                        "wrong",
                        "trunc",
                        "timeout",
                        "failed",
                        "p50 ms",
                        "p90 ms",
                        "p99 ms",
                        "p99.9 ms",
                        "max ms"));
        for (int step = 0; step < mSteps.size(); step++) {
            for (RequestKind kind : mPlan.kinds()) {
                table.append(toLine(String.valueOf(step), kind.name(), kind(step, kind.name())));
            }
        }
        table.append(toLine("all", "all", total()));
        table.append("statuses ").append(total().statuses());
        table.append(" outcomes ").append(total().outcomes());
        table.append(System.lineSeparator());
        for (int step = 0; step < mSteps.size(); step++) {
            Histogram delay = mSendDelayMicros.get(step);
            table.append(
                    String.format(
                            Locale.ROOT,
                            "step %d send delay p99 %.3f ms max %.3f ms%n",
                            step,
                            delay.getValueAtPercentile(99) / MICROS_PER_MILLI,
                            delay.getMaxValue() / MICROS_PER_MILLI));
        }
        return table.toString();
    }

    /**
     * Formats the report for programs.
     *
     * @return one line of JSON; times are in milliseconds
     */
    public String toJson() {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (int step = 0; step < mSteps.size(); step++) {
            for (RequestKind kind : mPlan.kinds()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("step", step);
                row.put("requestsPerSecond", mPlan.steps().get(step).requestsPerSecond());
                row.put("kind", kind.name());
                row.putAll(toFields(kind(step, kind.name())));
                rows.add(row);
            }
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("seed", mPlan.seed());
        fields.put("rows", rows);
        fields.put("total", toFields(total()));
        fields.put("sendDelay", mSendDelayMicros.stream().map(LoadReport::toFields).toList());
        try {
            return new ObjectMapper().writeValueAsString(fields);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the load report could not be converted to JSON", e);
        }
    }

    private int indexOf(String name) {
        for (int index = 0; index < mPlan.kinds().size(); index++) {
            if (mPlan.kinds().get(index).name().equals(name)) {
                return index;
            }
        }
        throw new IllegalArgumentException("kind \"" + name + "\" is not in the load plan");
    }

    private static String toLine(String step, String name, KindReport report) {
        StringBuilder line = new StringBuilder();
        line.append(
                String.format(
                        Locale.ROOT,
                        "%4s %-16s %8d %8d %8d %6d %6d %7d %6d",
                        step,
                        name,
                        report.total(),
                        report.count(LoadResult.SUCCESS),
                        report.count(LoadResult.OTHER_STATUS),
                        report.count(LoadResult.WRONG_RESPONSE),
                        report.count(LoadResult.TRUNCATED),
                        report.count(LoadResult.TIMED_OUT),
                        report.count(LoadResult.CONNECTION_FAILED)));
        for (double percentile : PERCENTILES) {
            double millis =
                    report.successMicros().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
            line.append(String.format(Locale.ROOT, " %9.3f", millis));
        }
        double maximum = report.successMicros().getMaxValue() / MICROS_PER_MILLI;
        return line.append(String.format(Locale.ROOT, " %9.3f%n", maximum)).toString();
    }

    private static Map<String, Object> toFields(KindReport report) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("requests", report.total());
        Map<String, Long> results = new LinkedHashMap<>();
        for (LoadResult result : LoadResult.values()) {
            results.put(result.name(), report.count(result));
        }
        fields.put("results", results);
        fields.put("statuses", report.statuses());
        fields.put("outcomes", report.outcomes());
        fields.put("success", toFields(report.successMicros()));
        fields.put("otherStatus", toFields(report.otherStatusMicros()));
        return fields;
    }

    private static Map<String, Object> toFields(Histogram micros) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("count", micros.getTotalCount());
        for (double percentile : PERCENTILES) {
            fields.put(
                    "p" + String.valueOf(percentile).replaceAll("\\.0$", ""),
                    micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
        }
        fields.put("max", micros.getMaxValue() / MICROS_PER_MILLI);
        return fields;
    }
}
