package org.arbutuslock.testbed.fault;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

/**
 * Faults that a relay applies to every frame on every connection.
 *
 * @param held directions in which nothing is passed on
 * @param delay time by which each frame is late
 * @param duplicateShare share of frames that are passed on twice, 0 to 1
 * @param cutShare share of frames of which a part is passed on before both connections are reset
 */
public record RelayFaults(
        Set<RelayDirection> held, Duration delay, double duplicateShare, double cutShare) {
    /** Copies the set and checks the shares. */
    public RelayFaults {
        held = Set.copyOf(held);
        if (!(duplicateShare >= 0 && cutShare >= 0 && duplicateShare + cutShare <= 1)) {
            throw new IllegalArgumentException(
                    "shares are duplicate "
                            + duplicateShare
                            + " and cut "
                            + cutShare
                            + "; allowed are values from 0 whose sum is at most 1");
        }
    }

    /**
     * Returns the state without faults.
     *
     * @return faults that are all off
     */
    public static RelayFaults none() {
        return new RelayFaults(EnumSet.noneOf(RelayDirection.class), Duration.ZERO, 0, 0);
    }

    /**
     * Holds back one direction, as in a one-way partition.
     *
     * @param direction the direction
     * @return changed faults
     */
    public RelayFaults withHeld(RelayDirection direction) {
        return new RelayFaults(Set.of(direction), delay, duplicateShare, cutShare);
    }

    /**
     * Delays every frame.
     *
     * @param time time by which each frame is late
     * @return changed faults
     */
    public RelayFaults withDelay(Duration time) {
        return new RelayFaults(held, time, duplicateShare, cutShare);
    }

    /**
     * Passes frames on twice.
     *
     * @param share 0 to 1
     * @return changed faults
     */
    public RelayFaults withDuplicateShare(double share) {
        return new RelayFaults(held, delay, share, cutShare);
    }

    /**
     * Resets connections in the middle of a frame.
     *
     * @param share 0 to 1
     * @return changed faults
     */
    public RelayFaults withCutShare(double share) {
        return new RelayFaults(held, delay, duplicateShare, share);
    }
}
