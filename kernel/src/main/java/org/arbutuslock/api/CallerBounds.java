package org.arbutuslock.api;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers. They apply to all routes of a configuration.
 *
 * @param headerBytes size limit of the head of a request in bytes, at least 1
 * @param bodyBytes size limit of the body of a request in bytes, at least 0
 * @param headTimeout time limit from the first byte of a request to the end of its head
 * @param idleTimeout time after which a connection without a request may be closed
 */
public record CallerBounds(
        int headerBytes, long bodyBytes, Duration headTimeout, Duration idleTimeout) {}
