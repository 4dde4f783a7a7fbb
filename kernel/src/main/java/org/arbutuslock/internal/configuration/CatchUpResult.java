package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.Failure;

/** Outcome of reading the change log from the store and applying it. */
public sealed interface CatchUpResult {
    /**
     * All changes in the store are in force on this node.
     *
     * @param revision revision in force
     * @param storeRevision revision of the store at which a watch has to start to miss no change
     */
    record Current(long revision, long storeRevision) implements CatchUpResult {}

    /**
     * The store lacks the revision in force, for example after an older backup was restored. The
     * configuration in force stays.
     *
     * @param revision revision in force, which the store lacks
     */
    record StoreBehind(long revision) implements CatchUpResult {}

    /**
     * A change or snapshot in the store cannot be applied. The configuration in force stays.
     *
     * @param key key of the refused change or snapshot
     * @param reason why it was refused
     */
    record Refused(String key, ApplyResult reason) implements CatchUpResult {}

    /**
     * The store could not be read, or its snapshot is incomplete or cannot be parsed.
     *
     * @param failure what went wrong and where
     */
    record StoreUnavailable(Failure failure) implements CatchUpResult {}
}
