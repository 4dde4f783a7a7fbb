package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.Failure;

/** Outcome of writing a snapshot to the store. */
public sealed interface SnapshotResult {
    /**
     * The snapshot is now the newest one in the store.
     *
     * @param revision its revision
     * @param parts number of parts that were written
     */
    record Written(long revision, int parts) implements SnapshotResult {}

    /**
     * No snapshot was written because the newest one in the store is recent enough.
     *
     * @param revision revision of the newest snapshot
     */
    record NotNeeded(long revision) implements SnapshotResult {}

    /**
     * The snapshot could not be written; it can be tried again.
     *
     * @param failure what went wrong and where
     */
    record Failed(Failure failure) implements SnapshotResult {}
}
