package org.arbutuslock.internal.configuration;

import java.util.List;

/** Outcome of parsing a configuration document. */
public sealed interface ParseResult {
    /**
     * The document has the right form; its values are yet to be validated.
     *
     * @param document the document
     */
    record Parsed(ConfigurationDocument document) implements ParseResult {}

    /**
     * The document cannot be used.
     *
     * @param errors all errors, or those up to the first syntax error
     */
    record Malformed(List<DocumentError> errors) implements ParseResult {}
}
