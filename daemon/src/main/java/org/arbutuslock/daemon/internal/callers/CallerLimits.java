package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;

/**
 * Bounds of one caller's connection.
 *
 * @param maximumHeaderBytes largest sum of all header fields of a request
 * @param idleTimeout time after which an idle connection is closed
 */
public record CallerLimits(int maximumHeaderBytes, Duration idleTimeout) {}
