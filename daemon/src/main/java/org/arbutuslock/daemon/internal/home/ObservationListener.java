package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.api.EndpointId;

/** Listens to the evidence that requests give about the health of backend servers. */
@FunctionalInterface
public interface ObservationListener {
    /**
     * Handles the end or the stall of one request. Called on the event loop of the endpoint.
     *
     * @param endpoint endpoint that executes the request
     * @param observation the evidence
     */
    void observed(EndpointId endpoint, Observation observation);
}
