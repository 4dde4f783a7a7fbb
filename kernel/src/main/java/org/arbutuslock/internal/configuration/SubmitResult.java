package org.arbutuslock.internal.configuration;

import java.util.List;
import java.util.UUID;
import org.arbutuslock.api.Failure;

/** Response to a submitted change. All but {@link Unknown} are definite. */
public sealed interface SubmitResult {
    /**
     * The change is in the log and will be in force everywhere.
     *
     * @param revision revision that it produced
     */
    record Accepted(long revision) implements SubmitResult {}

    /**
     * Another change followed the base revision first. The submitted one is not in the log and
     * never will be under this base revision.
     *
     * @param submitted the change that lost
     * @param winner the change that was accepted, with its author
     */
    record Conflict(ConfigurationChange submitted, ConfigurationChange winner)
            implements SubmitResult {}

    /**
     * The change is invalid; nothing was written.
     *
     * @param errors all reasons
     */
    record Invalid(List<ValidationError> errors) implements SubmitResult {}

    /**
     * The store cannot take the change now. This submission wrote nothing and will write nothing.
     *
     * @param failure what went wrong and where
     */
    record StoreUnavailable(Failure failure) implements SubmitResult {}

    /**
     * The deadline passed before the store gave a definite response. The change may have been
     * accepted or may still be.
     *
     * @param changeId id to look up, or to submit the same change with again
     */
    record Unknown(UUID changeId) implements SubmitResult {}
}
