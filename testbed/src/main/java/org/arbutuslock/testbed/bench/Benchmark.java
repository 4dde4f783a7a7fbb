package org.arbutuslock.testbed.bench;

/** One benchmark of {@code bin/bench}. {@link Benchmarks} lists all of them. */
interface Benchmark {
    /** Returns the name that selects the benchmark on the command line. */
    String name();

    /** Returns one sentence on what the benchmark measures, for the help text. */
    String description();

    /** Runs the benchmark and returns its figures, bounds and plots. */
    BenchReport run(BenchOptions options) throws Exception;
}
