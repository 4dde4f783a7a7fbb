package org.arbutuslock.api.store;

import org.arbutuslock.api.Failure;

/** Outcome of a lease call. */
public sealed interface LeaseResult {
    /**
     * The lease was granted or renewed.
     *
     * @param lease number of the lease
     * @param durationMillis time to live from now, in milliseconds
     */
    record Granted(long lease, long durationMillis) implements LeaseResult {}

    /** The lease has expired or never existed. */
    record Expired() implements LeaseResult {}

    /**
     * The store did not respond; the state of the lease is unknown.
     *
     * @param failure description of the failure
     */
    record Unavailable(Failure failure) implements LeaseResult {}
}
