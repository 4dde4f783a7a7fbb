package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.Failure;

/** Outcome of reading the log from the store. */
public sealed interface CatchUpResult {
    /**
     * Everything in the store is in force here.
     *
     * @param revision revision in force
     * @param storeRevision revision of the store from which a watch misses nothing
     */
    record Current(long revision, long storeRevision) implements CatchUpResult {}

    /**
     * The store holds a lower revision than the one in force, as after restoring an older backup.
     * The configuration in force stays.
     *
     * @param revision revision in force, which the store lacks
     */
    record StoreBehind(long revision) implements CatchUpResult {}

    /**
     * A change in the store cannot follow the one in force. The configuration in force stays.
     *
     * @param key key of the refused change
     * @param reason why it was refused
     */
    record Refused(String key, ApplyResult reason) implements CatchUpResult {}

    /**
     * The store could not be read.
     *
     * @param failure what went wrong and where
     */
    record StoreUnavailable(Failure failure) implements CatchUpResult {}
}
