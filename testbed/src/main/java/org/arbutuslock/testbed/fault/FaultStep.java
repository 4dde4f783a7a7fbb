package org.arbutuslock.testbed.fault;

/**
 * A fault in a {@link FaultSchedule}.
 *
 * @param atMillis start of the fault, in milliseconds after the start of the history
 * @param kind kind of fault
 * @param target index of the affected node or backend server
 * @param durationMillis duration in milliseconds; 0 for a one-off event that is not ended
 */
record FaultStep(long atMillis, FaultKind kind, int target, long durationMillis) {}
