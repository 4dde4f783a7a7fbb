package org.arbutuslock.internal.detection;

import org.arbutuslock.api.EndpointId;

/**
 * A health digest with its addressing, as sent to the home node of another endpoint of the service.
 *
 * @param destination endpoint whose home node receives the digest
 * @param source endpoint that the digest describes
 * @param digest summary of the observations of the source
 */
public record HealthReport(EndpointId destination, EndpointId source, HealthDigest digest) {}
