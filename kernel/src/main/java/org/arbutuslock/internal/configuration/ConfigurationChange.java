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
 */
public record ConfigurationChange(
        long revision,
        UUID changeId,
        String author,
        long wallTimeMillis,
        long baseRevision,
        List<ConfigurationOperation> operations) {
    /** Copies the operations so that a change never changes. */
    public ConfigurationChange {
        operations = List.copyOf(operations);
    }
}
