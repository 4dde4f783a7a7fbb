package org.arbutuslock.internal.configuration;

import java.util.ArrayList;
import java.util.List;

/** Validates a submitted change: its operations, its author and its encoded size. */
final class ChangeChecks {
    private ChangeChecks() {}

    static List<ValidationError> check(
            Configuration base, ConfigurationChange change, int encodedBytes) {
        List<ValidationError> errors =
                new ArrayList<>(ConfigurationValidator.validate(base, change.operations()));
        int authorCharacters = change.author().length();
        if (authorCharacters < 1 || authorCharacters > ConfigurationLimits.AUTHOR_CHARACTERS) {
            errors.add(
                    new ValidationError(
                            "change",
                            "author",
                            change.author(),
                            "1 to " + ConfigurationLimits.AUTHOR_CHARACTERS + " characters"));
        }
        if (encodedBytes > ConfigurationLimits.ENCODED_BYTES) {
            errors.add(
                    new ValidationError(
                            "change",
                            "operations",
                            encodedBytes + " encoded bytes",
                            "at most "
                                    + ConfigurationLimits.ENCODED_BYTES
                                    + " encoded bytes; split the change"));
        }
        return errors;
    }
}
