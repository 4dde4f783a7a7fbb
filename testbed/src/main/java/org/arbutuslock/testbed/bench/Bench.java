package org.arbutuslock.testbed.bench;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** A benchmark with options of its own. */
interface Bench {
    /** Returns what is measured, for the help. */
    String description();

    /** Adds options beside the seed and the format. */
    default void addOptions(ArgumentParser parser) {}

    /** Measures and adds the figures to the report. */
    void measure(Namespace options, BenchReport report) throws Exception;
}
