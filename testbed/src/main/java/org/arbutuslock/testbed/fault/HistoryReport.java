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
 * @param requests requests that were sent
 * @param duration time for which they were sent
 * @param faults faults that were applied, by kind
 * @param results results by kind of request and kind of result
 * @param unknown requests whose outcome their caller was told to be unknown
 * @param violations descriptions of what must not happen
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
     * Counts requests of all kinds with one result.
     *
     * @param result simple name of the result
     * @return requests
     */
    public int count(String result) {
        return results.values().stream().mapToInt(counts -> counts.getOrDefault(result, 0)).sum();
    }

    /**
     * Describes the report for people.
     *
     * @return several lines
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
     * @return fields in order
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
