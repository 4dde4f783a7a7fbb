package org.arbutuslock.testbed.load;

/** Spacing of arrivals within a step. */
public enum ArrivalPattern {
    /** Equal intervals. */
    UNIFORM,
    /** Exponentially distributed intervals, as from many independent callers. */
    POISSON
}
