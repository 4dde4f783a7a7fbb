package org.arbutuslock.testbed.bench;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** A benchmark with its own command-line options, run by {@link BenchRunner}. */
interface Bench {
    /** Returns what the benchmark measures, as shown in the help text. */
    String description();

    /** Adds options to a parser that already has {@code --seed}. */
    default void addOptions(ArgumentParser parser) {}

    /** Runs the benchmark and adds its figures to the report. */
    void measure(Namespace options, BenchReport report) throws Exception;
}
