package org.arbutuslock.testbed.fault;

/**
 * One fault of a schedule.
 *
 * @param atMillis start, after the start of the history
 * @param kind what happens
 * @param target index of the node
 * @param durationMillis time until it ends; 0 when it has no end
 */
record FaultStep(long atMillis, FaultKind kind, int target, long durationMillis) {}
