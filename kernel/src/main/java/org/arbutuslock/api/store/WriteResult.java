package org.arbutuslock.api.store;

import org.arbutuslock.api.Failure;

/** Outcome of a conditional write. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param version new version of the key
     * @param storeRevision revision of the store at the write
     */
    record Applied(long version, long storeRevision) implements WriteResult {}

    /**
     * The key had another version; nothing was written.
     *
     * @param actualVersion current version of the key, or {@link StoreEntry#ABSENT_VERSION}
     */
    record Conflict(long actualVersion) implements WriteResult {}

    /**
     * The store was not reached; the write was not applied and will not be.
     *
     * @param failure description of the failure
     */
    record Unavailable(Failure failure) implements WriteResult {}

    /**
     * The response was lost; the write may have been applied, or may still be applied later.
     *
     * @param failure description of the failure
     */
    record Unknown(Failure failure) implements WriteResult {}
}
