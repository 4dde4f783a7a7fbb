package org.arbutuslock.internal.configuration;

/**
 * One reason why a document cannot be parsed.
 *
 * @param file name of the file
 * @param line line of the value, from 1
 * @param column column of the value, from 1
 * @param field path of the field, for example {@code routes[3].priority}
 * @param value value that was read
 * @param allowed what is allowed instead
 */
public record DocumentError(
        String file, int line, int column, String field, String value, String allowed) {
    @Override
    public String toString() {
        return file
                + ":"
                + line
                + ":"
                + column
                + ": field "
                + field
                + ": read "
                + value
                + ", allowed: "
                + allowed;
    }
}
