package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.Failure;

/** What the log knows about a change id. */
public sealed interface LookupResult {
    /**
     * The change is in the log.
     *
     * @param revision revision that it produced
     */
    record Accepted(long revision) implements LookupResult {}

    /**
     * The change is not among the searched revisions. A write that is still under way can add it
     * later; submitting the same change again settles it.
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
