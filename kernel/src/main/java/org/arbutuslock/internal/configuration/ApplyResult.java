package org.arbutuslock.internal.configuration;

/** What became of a change or snapshot that a node received. */
public sealed interface ApplyResult {
    /**
     * It is in force.
     *
     * @param revision revision in force
     */
    record Applied(long revision) implements ApplyResult {}

    /**
     * It was in force before; duplicates are harmless.
     *
     * @param revision revision in force
     */
    record AlreadyApplied(long revision) implements ApplyResult {}

    /**
     * Changes in between are missing; nothing changed.
     *
     * @param revision revision in force
     * @param received revision that arrived too early
     */
    record Missing(long revision, long received) implements ApplyResult {}

    /**
     * It has a lower revision than the one in force; nothing changed.
     *
     * @param revision revision in force
     * @param received the lower revision
     */
    record LowerRevision(long revision, long received) implements ApplyResult {}

    /**
     * It belongs to another history, for example after a store was restored from a backup and then
     * changed; nothing changed.
     *
     * @param revision revision at which the histories differ
     * @param reason how they differ
     */
    record OtherHistory(long revision, String reason) implements ApplyResult {}

    /**
     * It cannot be parsed; the last good configuration stays in force.
     *
     * @param revision revision in force
     * @param reason position, field, value read and allowed values
     */
    record Unparsable(long revision, String reason) implements ApplyResult {}
}
