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
     * @param actualVersion version found, or {@link StoreEntry#ABSENT_VERSION}
     */
    record Conflict(long actualVersion) implements WriteResult {}

    /**
     * The store was not reached; nothing was written and nothing will be.
     *
     * @param failure what went wrong and where
     */
    record Unavailable(Failure failure) implements WriteResult {}

    /**
     * The answer was lost; the write may have taken effect or may still do so.
     *
     * @param failure what went wrong and where
     */
    record Unknown(Failure failure) implements WriteResult {}
}
