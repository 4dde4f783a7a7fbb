package org.arbutuslock.internal.detection;

import java.util.List;

/**
 * Summary of the observations of one endpoint in the last second. It is sent once a second to up to
 * five random endpoints of the service. The quantiles of a traffic class with few requests cover up
 * to 30 s.
 *
 * @param trafficClasses one entry per {@link TrafficClass}, in the order of its constants
 */
public record HealthDigest(List<TrafficClassDigest> trafficClasses) {
    /** Makes an immutable copy of the list. */
    public HealthDigest {
        trafficClasses = List.copyOf(trafficClasses);
    }

    /**
     * Summary of one traffic class.
     *
     * @param requests all counted requests, including failed, refused and stalled ones
     * @param failed requests whose response was wrong, truncated or timed out
     * @param stalled requests that were reported as stalled
     * @param refused requests that the server refused
     * @param latencySamples service times from which the quantiles are computed
     * @param medianMicros median service time in microseconds, or 0 without samples
     * @param upperMicros 90th percentile of the service time in microseconds, or 0 without samples
     */
    public record TrafficClassDigest(
            int requests,
            int failed,
            int stalled,
            int refused,
            int latencySamples,
            int medianMicros,
            int upperMicros) {}
}
