package org.arbutuslock.internal.detection;

import java.util.List;

/**
 * Observations of one endpoint in the last second, sent once a second to five random endpoints of
 * the service. The quantiles of lanes with few requests cover up to 30 s.
 *
 * @param trafficClasses one entry per {@link TrafficClass}, in its order
 */
public record HealthDigest(List<TrafficClassDigest> trafficClasses) {
    /** Copies the lanes so that a digest never changes. */
    public HealthDigest {
        trafficClasses = List.copyOf(trafficClasses);
    }

    /**
     * Observations of one lane.
     *
     * @param requests finished requests, including refused and stalled ones
     * @param failed wrong, truncated and timed out ones
     * @param stalled stalled ones
     * @param refused refused ones
     * @param latencySamples requests behind the quantiles
     * @param medianMicros median service time
     * @param upperMicros 90th percentile of the service time
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
