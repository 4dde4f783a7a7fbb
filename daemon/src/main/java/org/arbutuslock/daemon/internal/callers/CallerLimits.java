package org.arbutuslock.daemon.internal.callers;

import java.time.Duration;

/**
 * Bounds of callers' connections.
 *
 * @param maximumHeaderBytes largest sum of all header fields of a request
 * @param idleTimeout time after which an idle connection is closed
 * @param connections most connections of callers at once
 */
public record CallerLimits(int maximumHeaderBytes, Duration idleTimeout, int connections) {}
