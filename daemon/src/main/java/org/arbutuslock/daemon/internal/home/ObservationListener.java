package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.WorkClass;

/** Gets the evidence that requests give about the health of backend servers. */
@FunctionalInterface
public interface ObservationListener {
    /**
     * Notes the end of a request. Called on the event loop of the endpoint.
     *
     * @param endpoint endpoint that executed the request
     * @param workClass short or long work
     * @param latencyNanos time from dispatch to the start of the response or to the failure
     * @param outcome how it ended
     */
    void observed(
            EndpointId endpoint, WorkClass workClass, long latencyNanos, ObservedOutcome outcome);
}
