package org.arbutuslock.api.store;

import org.arbutuslock.api.Failure;

/** Outcome of a read. */
public sealed interface ReadResult {
    /**
     * The key exists.
     *
     * @param entry entry of the key
     */
    record Found(StoreEntry entry) implements ReadResult {}

    /** The key does not exist. */
    record Absent() implements ReadResult {}

    /**
     * The store did not respond.
     *
     * @param failure description of the failure
     */
    record Unavailable(Failure failure) implements ReadResult {}
}
