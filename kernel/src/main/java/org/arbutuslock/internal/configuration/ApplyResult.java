package org.arbutuslock.internal.configuration;

/** Outcome of applying a change or snapshot that a node received. */
public sealed interface ApplyResult {
    /**
     * The change or snapshot is now in force.
     *
     * @param revision revision in force
     */
    record Applied(long revision) implements ApplyResult {}

    /**
     * The change or snapshot was already in force. Receiving a duplicate is no error.
     *
     * @param revision revision in force
     */
    record AlreadyApplied(long revision) implements ApplyResult {}

    /**
     * Changes between the revision in force and the received one are missing; nothing changed.
     *
     * @param revision revision in force
     * @param received revision of the received change
     */
    record Missing(long revision, long received) implements ApplyResult {}

    /**
     * The snapshot has a lower revision than the one in force; nothing changed.
     *
     * @param revision revision in force
     * @param received revision of the received snapshot
     */
    record LowerRevision(long revision, long received) implements ApplyResult {}

    /**
     * The change or snapshot belongs to another sequence of changes than the one applied here, for
     * example because the store was restored from a backup and then changed; nothing changed.
     *
     * @param revision revision at which the histories differ
     * @param reason how the histories differ
     */
    record OtherHistory(long revision, String reason) implements ApplyResult {}

    /**
     * The received bytes cannot be parsed; the last valid configuration stays in force.
     *
     * @param revision revision in force
     * @param reason position, field, value read and allowed values
     */
    record Unparsable(long revision, String reason) implements ApplyResult {}
}
