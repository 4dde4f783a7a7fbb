package org.arbutuslock.internal.ejection;

import java.time.Duration;

/**
 * Times of the pledge protocol and of returns. All nodes of a fleet must use the same pledge
 * duration; a node refuses requests for a longer one than its own.
 *
 * @param pledgeDuration time for which the pledging side is bound, from receipt
 * @param countedDuration time for which the requester counts a pledge, from sending the request
 * @param renewalInterval time between renewals
 * @param replyTimeout time after which an unsuccessful request is withdrawn
 * @param departureNotice time between the notice of a departure and its effect
 * @param initialBackoff time out of service after the first ejection
 * @param maximumBackoff limit of the doubling back-off
 * @param trialDuration time without a sick verdict after which a trial has passed
 * @param rampDuration time from the first reduced weight to full weight after a return
 */
public record EjectionSettings(
        Duration pledgeDuration,
        Duration countedDuration,
        Duration renewalInterval,
        Duration replyTimeout,
        Duration departureNotice,
        Duration initialBackoff,
        Duration maximumBackoff,
        Duration trialDuration,
        Duration rampDuration) {
    /** Largest difference between the rates of two monotonic clocks that the times allow for. */
    public static final double CLOCK_RATE_TOLERANCE = 0.1;

    /**
     * Returns the times of the design page.
     *
     * @return settings with a pledge duration of 6 s, of which 4 s are counted
     */
    public static EjectionSettings standard() {
        return new EjectionSettings(
                Duration.ofSeconds(6),
                Duration.ofSeconds(4),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofSeconds(10),
                Duration.ofMinutes(5),
                Duration.ofSeconds(5),
                Duration.ofSeconds(10));
    }

    /**
     * Changes the notice of a departure.
     *
     * @param notice time between the notice and its effect
     * @return changed settings
     */
    public EjectionSettings withDepartureNotice(Duration notice) {
        return new EjectionSettings(
                pledgeDuration,
                countedDuration,
                renewalInterval,
                replyTimeout,
                notice,
                initialBackoff,
                maximumBackoff,
                trialDuration,
                rampDuration);
    }

    /**
     * Checks that the requester stops counting before the pledging side is released, even when
     * their clocks run at different rates.
     *
     * @throws IllegalArgumentException when the counted time is too long
     */
    public void requireSafe() {
        double countedNanos = countedDuration.toNanos() * (1 + CLOCK_RATE_TOLERANCE);
        double boundNanos = pledgeDuration.toNanos() * (1 - CLOCK_RATE_TOLERANCE);
        if (countedNanos >= boundNanos) {
            throw new IllegalArgumentException(
                    "countedDuration "
                            + countedDuration
                            + " is too long for pledgeDuration "
                            + pledgeDuration
                            + "; at clock rates that differ by 10% it must end first");
        }
    }
}
