package org.arbutuslock.internal.admission;

import java.time.Duration;

/**
 * Settings of the {@link AdmissionController} of one endpoint.
 *
 * @param slots requests that the backend server processes at once, at least 1
 * @param overcommit requests in addition to the slots that may be in flight while latency is low
 * @param queueCapacity maximum number of queued requests, both work classes together
 * @param shortReserve slots that long work may not use; 0 disables the reserve
 * @param coldStartRamp time over which a cold start raises the upper bound of the limit from 1 to
 *     its maximum
 * @param decisionTime age at which a queued request is refused early or can no longer be displaced
 */
public record AdmissionSettings(
        int slots,
        int overcommit,
        int queueCapacity,
        int shortReserve,
        Duration coldStartRamp,
        Duration decisionTime) {
    private static final int QUEUE_CAPACITY = 256;
    private static final int SLOTS_PER_RESERVED_SLOT = 3;
    private static final int RAMP_SECONDS = 2;
    // Refusals should reach the caller within 50 ms. This leaves 10 ms for the poll interval and
    // for the network.
    private static final int DECISION_MILLIS = 40;

    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException when there is no slot or a number is negative
     */
    public AdmissionSettings {
        if (slots < 1 || overcommit < 0 || queueCapacity < 0 || shortReserve < 0) {
            throw new IllegalArgumentException(
                    "admission settings need slots >= 1 and no negative value, but slots="
                            + slots
                            + ", overcommit="
                            + overcommit
                            + ", queueCapacity="
                            + queueCapacity
                            + ", shortReserve="
                            + shortReserve);
        }
    }

    /**
     * Returns the default settings for an endpoint.
     *
     * @param slots requests that the backend server processes at once, at least 1
     * @return settings with a third of the slots reserved, at least one when there are two or more
     */
    public static AdmissionSettings forSlots(int slots) {
        int third = Math.round((float) slots / SLOTS_PER_RESERVED_SLOT);
        int reserve = slots == 1 ? 0 : Math.max(1, third);
        return new AdmissionSettings(
                slots,
                1,
                QUEUE_CAPACITY,
                reserve,
                Duration.ofSeconds(RAMP_SECONDS),
                Duration.ofMillis(DECISION_MILLIS));
    }

    /**
     * Returns these settings with another queue capacity.
     *
     * @param capacity maximum number of queued requests
     * @return copy with the new capacity
     */
    public AdmissionSettings withQueueCapacity(int capacity) {
        return new AdmissionSettings(
                slots, overcommit, capacity, shortReserve, coldStartRamp, decisionTime);
    }

    /**
     * Returns the largest concurrency limit.
     *
     * @return slots plus overcommit
     */
    public int maximumLimit() {
        return slots + overcommit;
    }
}
