package org.arbutuslock.internal.detection;

/** Kinds of work whose latencies are compared only with each other. */
public enum TrafficClass {
    /** Short requests of callers. */
    SHORT,
    /** Long requests of callers. */
    LONG,
    /** Probes that the home node sends. */
    PROBE
}
