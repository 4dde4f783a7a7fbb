package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.internal.detection.Outcome;
import org.arbutuslock.internal.detection.TrafficClass;

/**
 * Evidence that one request gives about the health of a backend server.
 *
 * @param trafficClass kind of work
 * @param serviceNanos estimated time that the backend server worked on it
 * @param outcome how it ended, or that it stalls
 */
public record Observation(TrafficClass trafficClass, long serviceNanos, Outcome outcome) {}
