package org.arbutuslock.api.store;

import java.util.List;
import org.arbutuslock.api.Failure;

/** Outcome of a list call. */
public sealed interface ListResult {
    /**
     * One page of entries.
     *
     * @param entries entries in the order of their keys
     * @param more true when entries follow after the last one
     * @param storeRevision revision of the store at which the page was read
     */
    record Page(List<StoreEntry> entries, boolean more, long storeRevision) implements ListResult {}

    /**
     * The store did not answer.
     *
     * @param failure what went wrong and where
     */
    record Unavailable(Failure failure) implements ListResult {}
}
