package org.arbutuslock.internal.configuration;

import java.util.List;

/** Outcome of parsing a configuration document. */
public sealed interface ParseResult {
    /**
     * The document could be parsed; its values are not validated yet.
     *
     * @param document the document
     */
    record Parsed(ConfigurationDocument document) implements ParseResult {}

    /**
     * The document could not be parsed.
     *
     * @param errors all errors, or those found before parsing stopped at a syntax error or at 100
     *     errors
     */
    record Malformed(List<DocumentError> errors) implements ParseResult {}
}
