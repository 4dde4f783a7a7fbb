package org.arbutuslock.testbed.load;

/**
 * One request of the schedule.
 *
 * @param sequence position in the schedule, from 0
 * @param intendedNanos intended send time after the start of the run
 * @param step index of the step
 * @param kind index of the kind
 */
record Arrival(long sequence, long intendedNanos, int step, int kind) {}
