package org.arbutuslock.testbed.load;

/**
 * A scheduled request that has not been sent yet.
 *
 * @param sequence position in the schedule, from 0
 * @param intendedNanos intended send time in nanoseconds after the start of the run
 * @param step index in {@link LoadPlan#steps()}
 * @param kind index in {@link LoadPlan#kinds()}
 */
record Arrival(long sequence, long intendedNanos, int step, int kind) {}
