package org.arbutuslock.testbed.load;

/** Distribution of the intervals between the arrivals of a step. */
public enum ArrivalPattern {
    /** Equal intervals. */
    UNIFORM,
    /** Exponentially distributed intervals, as many independent callers produce them. */
    POISSON
}
