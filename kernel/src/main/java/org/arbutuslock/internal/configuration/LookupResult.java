package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.Failure;

/** Outcome of looking up a change id in the change log. */
public sealed interface LookupResult {
    /**
     * The change is in the log.
     *
     * @param revision revision that the change produced
     */
    record Accepted(long revision) implements LookupResult {}

    /**
     * The change is not among the searched revisions. A write that is still in flight can add the
     * change later; submitting the same change again gives a definite response.
     *
     * @param firstRevision first revision that was searched
     * @param lastRevision last revision that was searched
     */
    record NotFound(long firstRevision, long lastRevision) implements LookupResult {}

    /**
     * The store could not be read.
     *
     * @param failure what went wrong and where
     */
    record StoreUnavailable(Failure failure) implements LookupResult {}
}
