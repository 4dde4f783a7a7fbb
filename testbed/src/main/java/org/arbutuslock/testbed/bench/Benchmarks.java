package org.arbutuslock.testbed.bench;

import java.util.List;

/** All benchmarks of {@code bin/bench}, in the order in which {@code all} runs them. */
final class Benchmarks {
    private static final List<Benchmark> ALL =
            List.of(
                    new AdmissionBench(),
                    new ConfigurationSizeBench(),
                    new DetectionBenchmark(),
                    new GossipBench(),
                    new ParsedBenchmark(
                            "fault-history",
                            new FaultHistoryBench(),
                            List.of("--requests", "2000")));

    private Benchmarks() {}

    static List<Benchmark> all() {
        return ALL;
    }
}
