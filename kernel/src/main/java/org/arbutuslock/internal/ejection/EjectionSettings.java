package org.arbutuslock.internal.ejection;

import java.time.Duration;

/**
 * Durations of the reservation protocol and of the return to service. All nodes of a fleet must use
 * the same reservation duration. A node refuses a reservation for longer than its own reservation
 * duration.
 *
 * @param reservationDuration time for which a reservation binds its grantor, counted from the
 *     receipt of the request
 * @param countedDuration time for which the requester relies on a reservation, counted from sending
 *     the request
 * @param renewalInterval time between two renewals of the held reservations
 * @param replyTimeout time after which an attempt to leave service ends if it has too few
 *     reservations
 * @param departureNotice time between the announcement of a departure and the departure
 * @param initialBackoff time out of service after the first ejection
 * @param maximumBackoff upper limit of the exponential back-off
 * @param trialDuration time after which a trial succeeds if the endpoint is healthy at that time; a
 *     trial of a suspect endpoint takes three times as long
 * @param rampDuration time in which the weight rises to 100% after the return to service
 */
public record EjectionSettings(
        Duration reservationDuration,
        Duration countedDuration,
        Duration renewalInterval,
        Duration replyTimeout,
        Duration departureNotice,
        Duration initialBackoff,
        Duration maximumBackoff,
        Duration trialDuration,
        Duration rampDuration) {
    /** Maximum relative rate error of a monotonic clock that safe durations allow for. */
    public static final double CLOCK_RATE_TOLERANCE = 0.1;

    /**
     * Returns the settings described in {@code docs/ejection.md}.
     *
     * @return settings with a reservation duration of 6 s, of which 4 s are counted
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
     * Returns a copy with another departure notice.
     *
     * @param notice time between the announcement of a departure and the departure
     * @return the changed copy
     */
    public EjectionSettings withDepartureNotice(Duration notice) {
        return new EjectionSettings(
                reservationDuration,
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
     * Checks that a requester stops relying on a reservation before the reservation stops binding
     * its grantor, even when the rates of their clocks differ by the tolerance.
     *
     * @throws IllegalArgumentException when the counted duration is too long
     */
    public void requireSafe() {
        double countedNanos = countedDuration.toNanos() * (1 + CLOCK_RATE_TOLERANCE);
        double boundNanos = reservationDuration.toNanos() * (1 - CLOCK_RATE_TOLERANCE);
        if (countedNanos >= boundNanos) {
            throw new IllegalArgumentException(
                    "countedDuration "
                            + countedDuration
                            + " is too long for reservationDuration "
                            + reservationDuration
                            + "; at clock rates that differ by 10% it must end first");
        }
    }
}
