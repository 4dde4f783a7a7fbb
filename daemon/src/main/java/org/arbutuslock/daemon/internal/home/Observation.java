package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.internal.detection.Lane;
import org.arbutuslock.internal.detection.Outcome;

/**
 * Evidence that one request gives about the health of a backend server.
 *
 * @param lane kind of work
 * @param latencyNanos time from dispatch to the last byte or to the failure
 * @param inFlight other requests at the backend server when this one was dispatched
 * @param outcome how it ended, or that it stalls
 */
public record Observation(Lane lane, long latencyNanos, int inFlight, Outcome outcome) {}
