package org.arbutuslock.testbed.bench;

/** One benchmark of {@code bin/bench}. {@link Benchmarks} lists all of them. */
interface Benchmark {
    /** Returns the name on the command line. */
    String name();

    /** Returns what is measured, in one sentence. */
    String description();

    /** Measures and returns figures, bounds and plots. */
    BenchReport run(BenchOptions options) throws Exception;
}
