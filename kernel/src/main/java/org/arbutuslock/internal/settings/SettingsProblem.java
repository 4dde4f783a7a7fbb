package org.arbutuslock.internal.settings;

/**
 * One problem of a settings file.
 *
 * @param file path of the file
 * @param line line of the value, from 1; 0 when the file could not be read
 * @param column column of the value, from 1; 0 when the file could not be read
 * @param field path of the field, for example {@code limits.connections}; empty for a problem of
 *     the whole file
 * @param value value that was read, or empty when the field is missing
 * @param reason what is wrong and what is allowed
 */
public record SettingsProblem(
        String file, int line, int column, String field, String value, String reason) {
    @Override
    public String toString() {
        String position = line == 0 ? file : file + ":" + line + ":" + column;
        String subject = field.isEmpty() ? "" : " " + field;
        String read = value.isEmpty() ? "" : " is " + value;
        return position + ":" + subject + read + (subject.isEmpty() ? " " : "; ") + reason;
    }
}
