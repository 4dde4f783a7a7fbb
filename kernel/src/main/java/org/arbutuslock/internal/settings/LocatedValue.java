package org.arbutuslock.internal.settings;

import java.util.List;
import java.util.Map;

/** A JSON value with its position in the file. */
sealed interface LocatedValue {
    int line();

    int column();

    /** Formats the value for an error message; long strings are cut. */
    String display();

    /**
     * A string, number, boolean or null.
     *
     * @param line line of the value, from 1
     * @param column column of the value, from 1
     * @param isString true for a string, which is displayed in quotation marks
     * @param isInteger true for a number without fraction and exponent
     * @param content text of the value without quotation marks
     */
    record Scalar(int line, int column, boolean isString, boolean isInteger, String content)
            implements LocatedValue {
        private static final int MAXIMUM_DISPLAY_LENGTH = 80;

        @Override
        public String display() {
            boolean tooLong = content.length() > MAXIMUM_DISPLAY_LENGTH;
            String shown = tooLong ? content.substring(0, MAXIMUM_DISPLAY_LENGTH) + "..." : content;
            return isString ? "\"" + shown + "\"" : shown;
        }
    }

    /** A JSON array. */
    record Array(int line, int column, List<LocatedValue> elements) implements LocatedValue {
        @Override
        public String display() {
            return "a list";
        }
    }

    /** A JSON object. */
    record Section(int line, int column, Map<String, Member> members) implements LocatedValue {
        @Override
        public String display() {
            return "an object";
        }
    }

    /**
     * A field of a JSON object.
     *
     * @param line line of the name
     * @param column column of the name
     * @param value value of the field
     */
    record Member(int line, int column, LocatedValue value) {}
}
