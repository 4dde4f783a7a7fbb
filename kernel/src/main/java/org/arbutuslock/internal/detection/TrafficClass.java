package org.arbutuslock.internal.detection;

/** Class of requests whose latencies are compared only with latencies of the same class. */
public enum TrafficClass {
    /** Short requests of callers. */
    SHORT,
    /** Long requests of callers. */
    LONG,
    /** Health probes sent by the home node. */
    PROBE
}
