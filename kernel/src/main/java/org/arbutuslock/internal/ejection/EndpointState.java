package org.arbutuslock.internal.ejection;

/** Where an endpoint stands between its start and its departure. */
public enum EndpointState {
    /** Takes work at a reduced weight; neither pledges nor leaves for one pledge duration. */
    STARTING(true),
    /** Takes work at full weight. */
    IN_SERVICE(true),
    /** Takes work at a reduced weight: sick but not allowed to leave, or ramping after a return. */
    REDUCED(true),
    /** Takes no work because it is sick. */
    EJECTED(false),
    /** Takes a few idempotent requests to find out whether it has recovered. */
    TRIAL(false),
    /** Finishes its work and takes none. */
    DRAINING(false),
    /** Has finished its work for good. */
    LEFT(false);

    private final boolean mTakesWork;

    EndpointState(boolean takesWork) {
        mTakesWork = takesWork;
    }

    /**
     * Tells whether ordinary requests are sent to an endpoint in this state.
     *
     * @return false when it takes none, or idempotent trial requests only
     */
    public boolean takesWork() {
        return mTakesWork;
    }
}
