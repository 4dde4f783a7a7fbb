package org.arbutuslock.api.store;

import org.arbutuslock.api.Failure;

/** Outcome of a lease call. */
public sealed interface LeaseResult {
    /**
     * The lease is valid.
     *
     * @param lease number of the lease
     * @param durationMillis time to live from now
     */
    record Granted(long lease, long durationMillis) implements LeaseResult {}

    /** The lease has expired or never existed. */
    record Expired() implements LeaseResult {}

    /**
     * The store did not answer; the state of the lease is not known.
     *
     * @param failure what went wrong and where
     */
    record Unavailable(Failure failure) implements LeaseResult {}
}
