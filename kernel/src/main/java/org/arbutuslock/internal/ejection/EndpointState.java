package org.arbutuslock.internal.ejection;

/** Lifecycle state of an endpoint. */
public enum EndpointState {
    /**
     * Takes work at a reduced weight. For one reservation duration the endpoint neither grants
     * reservations nor leaves service.
     */
    STARTING(true),
    /** Takes work at full weight. */
    IN_SERVICE(true),
    /**
     * Takes work at a reduced weight, because it is unhealthy but must stay in service, or because
     * its weight rises again after a return or a recovery.
     */
    REDUCED(true),
    /** Takes no work because it is unhealthy. */
    EJECTED(false),
    /** Takes a few idempotent requests, which show whether it has recovered. */
    TRIAL(false),
    /** Completes its running requests and takes no new work. */
    DRAINING(false),
    /** Has completed its last request. Final state. */
    LEFT(false);

    private final boolean mTakesWork;

    EndpointState(boolean takesWork) {
        mTakesWork = takesWork;
    }

    /**
     * Returns whether ordinary requests are sent to an endpoint in this state.
     *
     * @return false when the endpoint takes no requests or only idempotent trial requests
     */
    public boolean takesWork() {
        return mTakesWork;
    }
}
