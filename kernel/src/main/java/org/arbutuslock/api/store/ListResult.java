package org.arbutuslock.api.store;

import java.util.List;
import org.arbutuslock.api.Failure;

/** Outcome of a list call. */
public sealed interface ListResult {
    /**
     * One page of entries.
     *
     * @param entries entries in the order of their keys
     * @param more true when further entries follow this page
     * @param storeRevision revision of the store when the page was read
     */
    record Page(List<StoreEntry> entries, boolean more, long storeRevision) implements ListResult {}

    /**
     * The store did not respond.
     *
     * @param failure description of the failure
     */
    record Unavailable(Failure failure) implements ListResult {}
}
