package org.arbutuslock.testbed.fault;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutuslock.testbed.fault.HistoryRequest.Kind;

/**
 * Result of a fault history.
 *
 * @param seed seed of requests and faults
 * @param requests number of requests in the plan
 * @param duration time until all requests had completed and all faults had ended
 * @param faults number of applied faults by kind
 * @param results number of results by kind of request and simple class name of the result
 * @param unknown number of requests that were reported to their caller with an unknown outcome
 * @param violations descriptions of duplicate executions, false reports, wrong responses and faults
 *     that could not be applied; empty in a correct history
 */
public record HistoryReport(
        long seed,
        int requests,
        Duration duration,
        Map<FaultKind, Integer> faults,
        Map<Kind, Map<String, Integer>> results,
        int unknown,
        List<String> violations) {
    private static final int LISTED_VIOLATIONS = 20;

    /**
     * Returns the number of requests of all kinds with the given result.
     *
     * @param result simple class name of the result, for example {@code Broken}
     * @return number of requests
     */
    public int count(String result) {
        return results.values().stream().mapToInt(counts -> counts.getOrDefault(result, 0)).sum();
    }

    /**
     * Describes the report for people.
     *
     * @return several lines, with at most 20 violations
     */
    public String describe() {
        StringBuilder text = new StringBuilder();
        text.append("seed ").append(seed).append(": ").append(requests).append(" requests in ");
        text.append(duration.toSeconds()).append(" s, faults ").append(faults).append('\n');
        results.forEach(
                (kind, counts) -> text.append("  ").append(kind).append(counts).append('\n'));
        text.append("  unknown ").append(unknown).append(" (").append(unknownPercent());
        text.append(" %), violations ").append(violations.size()).append('\n');
        violations.stream()
                .limit(LISTED_VIOLATIONS)
                .forEach(violation -> text.append("  ").append(violation).append('\n'));
        return text.toString();
    }

    private double unknownPercent() {
        return 100.0 * unknown / requests;
    }

    /**
     * Describes the report for programs.
     *
     * @return field values by name, in output order
     */
    public Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("seed", seed);
        fields.put("requests", requests);
        fields.put("seconds", duration.toSeconds());
        fields.put("faults", faults);
        fields.put("results", results);
        fields.put("unknown", unknown);
        fields.put("unknownPercent", unknownPercent());
        fields.put("violations", violations);
        return fields;
    }
}
