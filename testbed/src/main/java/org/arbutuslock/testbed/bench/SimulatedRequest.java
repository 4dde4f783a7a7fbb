package org.arbutuslock.testbed.bench;

import org.arbutuslock.api.WorkClass;

/**
 * One request of a simulation.
 *
 * @param workClass short or long work
 * @param arrivedNanos time of arrival
 * @param deadlineNanos time at which the caller gives up
 * @param serviceNanos time for which it holds a slot
 */
record SimulatedRequest(
        WorkClass workClass, long arrivedNanos, long deadlineNanos, long serviceNanos) {}
