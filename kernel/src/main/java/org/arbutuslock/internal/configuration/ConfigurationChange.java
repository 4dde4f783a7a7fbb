package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.UUID;

/**
 * One accepted or submitted change of the configuration.
 *
 * @param revision revision that the change produces: the base revision plus one
 * @param changeId id that the submitter chose; a change that is submitted again keeps it
 * @param author operator who made the change
 * @param wallTimeMillis time of submission in milliseconds since the Unix epoch, for display
 * @param baseRevision revision that the operations were validated against
 * @param operations steps in order, all applied at once
 * @param operatorId id as the operator wrote it, or empty when the change id is that id
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
    /** Copies the operations so that a change never changes. */
    public ConfigurationChange {
        operations = List.copyOf(operations);
    }

    /**
     * Creates a change whose id is the one that its submitter chose and that is not a rollback.
     *
     * @param revision revision that the change produces: the base revision plus one
     * @param changeId id that the submitter chose
     * @param author operator who makes the change
     * @param wallTimeMillis time of submission in milliseconds since the Unix epoch
     * @param baseRevision revision that the operations were validated against
     * @param operations steps in order
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
     * @return the id as the operator wrote it
     */
    public String displayId() {
        return operatorId.isEmpty() ? changeId.toString() : operatorId;
    }
}
