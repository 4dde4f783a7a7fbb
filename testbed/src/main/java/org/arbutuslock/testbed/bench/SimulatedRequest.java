package org.arbutuslock.testbed.bench;

import org.arbutuslock.api.WorkClass;

/**
 * One request of the admission simulation. Times are simulated.
 *
 * @param workClass work class of the route
 * @param arrivedNanos time of arrival
 * @param deadlineNanos time at which the caller gives up
 * @param serviceNanos time for which the request occupies a slot
 */
record SimulatedRequest(
        WorkClass workClass, long arrivedNanos, long deadlineNanos, long serviceNanos) {}
