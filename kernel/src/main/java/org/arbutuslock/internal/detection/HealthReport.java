package org.arbutuslock.internal.detection;

import org.arbutuslock.api.EndpointId;

/**
 * A health digest on its way to the home node of another endpoint of the service.
 *
 * @param destination endpoint that the digest is for
 * @param source endpoint that it describes
 * @param digest observations of the source
 */
public record HealthReport(EndpointId destination, EndpointId source, HealthDigest digest) {}
