package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.UUID;
import org.arbutuslock.api.Failure;

/** Response to a submitted change. Only {@link Unknown} leaves the outcome open. */
public sealed interface SubmitResult {
    /**
     * The change is in the log and will come into force on all nodes.
     *
     * @param revision revision that the change produced
     */
    record Accepted(long revision) implements SubmitResult {}

    /**
     * Another change to the same base revision was accepted. The submitted change is not in the log
     * and cannot be accepted with this base revision later.
     *
     * @param submitted the rejected change
     * @param winner the accepted change, which names its author
     */
    record Conflict(ConfigurationChange submitted, ConfigurationChange winner)
            implements SubmitResult {}

    /**
     * The change is invalid; nothing was written.
     *
     * @param errors all errors found
     */
    record Invalid(List<ValidationError> errors) implements SubmitResult {}

    /**
     * The store cannot accept the change now. This submission wrote nothing and will write nothing.
     *
     * @param failure what went wrong and where
     */
    record StoreUnavailable(Failure failure) implements SubmitResult {}

    /**
     * The deadline passed before the outcome was known. The change may have been accepted, or may
     * still be accepted.
     *
     * @param changeId id of the change, for a lookup or for submitting the same change again
     */
    record Unknown(UUID changeId) implements SubmitResult {}
}
