package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.UUID;

/**
 * One accepted or submitted change of the configuration.
 *
 * @param revision revision that the change produces: the base revision plus one
 * @param changeId id that the submitter chose; a change that is submitted again keeps it
 * @param author operator who made the change
 * @param wallTimeMillis time of submission in milliseconds since the Unix epoch, only for display
 * @param baseRevision revision that the operations were validated against
 * @param operations operations in order, which take effect together
 * @param operatorId id as the operator wrote it, or empty when the operator gave {@code changeId}
 * @param restoredRevision revision that the change restores, or 0 when it is not a rollback to an
 *     earlier change
 */
public record ConfigurationChange(
        long revision,
        UUID changeId,
        String author,
        long wallTimeMillis,
        long baseRevision,
        List<ConfigurationOperation> operations,
        String operatorId,
        long restoredRevision) {
    /** Copies the operations, so that the change is immutable. */
    public ConfigurationChange {
        operations = List.copyOf(operations);
    }

    /**
     * Creates a change that is not a rollback and has no separate operator's id.
     *
     * @param revision revision that the change produces: the base revision plus one
     * @param changeId id that the submitter chose
     * @param author operator who makes the change
     * @param wallTimeMillis time of submission in milliseconds since the Unix epoch
     * @param baseRevision revision that the operations were validated against
     * @param operations operations in order
     */
    public ConfigurationChange(
            long revision,
            UUID changeId,
            String author,
            long wallTimeMillis,
            long baseRevision,
            List<ConfigurationOperation> operations) {
        this(revision, changeId, author, wallTimeMillis, baseRevision, operations, "", 0);
    }

    /**
     * Returns the id to show to operators.
     *
     * @return the operator's id, or the change id when there is no separate operator's id
     */
    public String displayId() {
        return operatorId.isEmpty() ? changeId.toString() : operatorId;
    }
}
