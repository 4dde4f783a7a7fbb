package org.arbutuslock.api.store;

import org.arbutuslock.api.Failure;

/** Outcome of a read. */
public sealed interface ReadResult {
    /**
     * The key exists.
     *
     * @param entry its entry
     */
    record Found(StoreEntry entry) implements ReadResult {}

    /** The key does not exist. */
    record Absent() implements ReadResult {}

    /**
     * The store did not answer.
     *
     * @param failure what went wrong and where
     */
    record Unavailable(Failure failure) implements ReadResult {}
}
