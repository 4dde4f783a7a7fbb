package org.arbutuslock.daemon.internal.home;

import org.arbutuslock.api.EndpointId;

/** Tells whether an endpoint accepts requests in its present state. */
@FunctionalInterface
public interface EndpointStates {
    /**
     * Tells whether an endpoint accepts a request. Any thread.
     *
     * @param endpoint the endpoint
     * @param idempotent true when the request may be executed more than once; an endpoint on trial
     *     accepts only such requests
     * @return false when the endpoint is ejected, draining, has left or is not known
     */
    boolean accepts(EndpointId endpoint, boolean idempotent);
}
