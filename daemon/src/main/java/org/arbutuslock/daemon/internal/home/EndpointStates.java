package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.api.EndpointId;

/** Tells whether an endpoint takes a request now. */
@FunctionalInterface
public interface EndpointStates {
    /**
     * Decides on one request. Any thread.
     *
     * @param endpoint the endpoint
     * @param idempotent true when the request may be executed more than once
     * @return false when the endpoint is ejected, draining or has left
     */
    boolean takes(EndpointId endpoint, boolean idempotent);
}
