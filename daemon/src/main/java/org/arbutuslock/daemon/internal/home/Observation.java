package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.TrafficClass;

/**
 * Evidence that one request gives about the health of a backend server.
 *
 * @param trafficClass traffic class of the request
 * @param serviceNanos estimated nanoseconds that the backend server worked on the request, 0 for a
 *     stall or a failure to connect
 * @param outcome how the request ended, or that it stalls
 */
public record Observation(TrafficClass trafficClass, long serviceNanos, Outcome outcome) {}
