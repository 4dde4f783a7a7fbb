package org.arbutuslock.testbed.fault;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

/**
 * Faults that a {@link FaultRelay} applies to the frames of all its connections.
 *
 * @param held directions in which all frames are held back
 * @param delay delay of each frame
 * @param duplicateShare share of frames that are forwarded twice, 0 to 1
 * @param cutShare share of frames that are cut, 0 to 1: the first half is forwarded, then both
 *     channels of the connection are reset
 */
public record RelayFaults(
        Set<RelayDirection> held, Duration delay, double duplicateShare, double cutShare) {
    /**
     * Creates faults.
     *
     * @throws IllegalArgumentException if a share is negative or the sum of the shares exceeds 1
     */
    public RelayFaults {
        held = Set.copyOf(held);
        if (!(duplicateShare >= 0 && cutShare >= 0 && duplicateShare + cutShare <= 1)) {
            throw new IllegalArgumentException(
                    "duplicateShare is "
                            + duplicateShare
                            + " and cutShare is "
                            + cutShare
                            + "; allowed are values from 0 whose sum is at most 1");
        }
    }

    /**
     * Returns an instance without any fault.
     *
     * @return faults under which every frame is forwarded unchanged
     */
    public static RelayFaults none() {
        return new RelayFaults(EnumSet.noneOf(RelayDirection.class), Duration.ZERO, 0, 0);
    }

    /**
     * Returns a copy that holds back all frames of one direction, as in a one-way partition. Frames
     * of the other direction are not held back.
     *
     * @param direction the direction to hold back
     * @return changed copy
     */
    public RelayFaults withHeld(RelayDirection direction) {
        return new RelayFaults(Set.of(direction), delay, duplicateShare, cutShare);
    }

    /**
     * Returns a copy that delays every frame.
     *
     * @param time delay of each frame
     * @return changed copy
     */
    public RelayFaults withDelay(Duration time) {
        return new RelayFaults(held, time, duplicateShare, cutShare);
    }

    /**
     * Returns a copy that forwards a share of the frames twice.
     *
     * @param share share of frames, 0 to 1
     * @return changed copy
     */
    public RelayFaults withDuplicateShare(double share) {
        return new RelayFaults(held, delay, share, cutShare);
    }

    /**
     * Returns a copy that resets the connection in the middle of a share of the frames.
     *
     * @param share share of frames, 0 to 1
     * @return changed copy
     */
    public RelayFaults withCutShare(double share) {
        return new RelayFaults(held, delay, duplicateShare, share);
    }
}
