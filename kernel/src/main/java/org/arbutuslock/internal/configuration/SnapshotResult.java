package org.arbutuslock.internal.configuration;

import org.arbutuslock.api.Failure;

/** Outcome of writing a snapshot to the store. */
public sealed interface SnapshotResult {
    /**
     * The snapshot is the newest one.
     *
     * @param revision its revision
     * @param parts number of parts that were written
     */
    record Written(long revision, int parts) implements SnapshotResult {}

    /**
     * The newest snapshot in the store is recent enough.
     *
     * @param revision revision of the newest snapshot
     */
    record NotNeeded(long revision) implements SnapshotResult {}

    /**
     * The snapshot is not the newest one; writing can be tried again.
     *
     * @param failure what went wrong and where
     */
    record Failed(Failure failure) implements SnapshotResult {}
}
