package org.arbutuslock.internal.selection;

import java.time.Duration;

/**
 * Latencies that are equivalent to the cost of sending a request to another availability zone or
 * region, where bytes are charged by volume. A request goes farther only when that is expected to
 * save more time.
 *
 * <p>Answers the load of a service that has room nearby: a request stays in its availability zone
 * until waiting there costs its caller more than the way.
 *
 * @param zoneNanos penalty of another availability zone of the region, in nanoseconds, at least 0
 * @param regionNanos penalty of another region, in nanoseconds, at least 0
 */
public record DistancePenalties(long zoneNanos, long regionNanos) {
    /** No penalties: only the expected time of the response decides. */
    public static final DistancePenalties NONE = new DistancePenalties(0, 0);

    /**
     * Creates penalties from milliseconds, the unit of the settings.
     *
     * @param zoneMillis penalty of another availability zone of the region
     * @param regionMillis penalty of another region
     * @return the penalties
     */
    public static DistancePenalties ofMillis(long zoneMillis, long regionMillis) {
        return new DistancePenalties(
                Duration.ofMillis(zoneMillis).toNanos(), Duration.ofMillis(regionMillis).toNanos());
    }

    long nanosFor(ZoneDistance distance) {
        return switch (distance) {
            case SAME_ZONE -> 0;
            case SAME_REGION -> zoneNanos;
            case OTHER_REGION -> regionNanos;
        };
    }
}
