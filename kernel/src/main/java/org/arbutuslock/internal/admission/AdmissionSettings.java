package org.arbutuslock.internal.admission;

import java.time.Duration;

/**
 * Bounds of one endpoint's {@link AdmissionController}.
 *
 * @param slots requests that the backend server works on at once, at least 1
 * @param overcommit requests above the slots that may be in flight when latency permits
 * @param queueCapacity most requests that wait, both classes together
 * @param shortReserve slots that long work never takes; 0 switches the reserve off
 * @param coldStartRamp time in which the limit may rise from 1 to its maximum
 * @param decisionTime age at which a waiting request is refused or kept for good
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
    // Leaves 10 ms of the target of 50 ms for the poll interval and for the way to the caller.
    private static final int DECISION_MILLIS = 40;

    /** Checks the bounds. */
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
     * Returns the settings for an endpoint.
     *
     * @param slots requests that the backend server works on at once
     * @return a third of the slots reserved, at least one when there are two or more
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
     * Changes the length of the queue.
     *
     * @param capacity most requests that wait
     * @return changed settings
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
