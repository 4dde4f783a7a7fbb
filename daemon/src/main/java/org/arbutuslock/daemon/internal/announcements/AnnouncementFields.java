package org.arbutuslock.daemon.internal.announcements;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.List;
import org.arbutuslock.internal.settings.AddressParser;

/**
 * Reads the fields of an announcement. Values are not converted: a number in a string or a fraction
 * where a whole number is due comes from a writer of another format.
 *
 * @param json body of the announcement
 */
record AnnouncementFields(JsonNode json) {
    static final String NAME_PATTERN = "[A-Za-z0-9-]{1,63}";

    private static final int MAXIMUM_QUOTED_LENGTH = 100;

    /** Thrown when a field is missing, of another type or out of range. */
    static final class InvalidField extends Exception {
        private static final long serialVersionUID = 1L;

        private final String mField;

        private InvalidField(String field, JsonNode read, String allowed) {
            super("read " + quote(read) + ", allowed " + allowed);
            mField = field;
        }

        private static String quote(JsonNode read) {
            String text = read.toString();
            return text.length() <= MAXIMUM_QUOTED_LENGTH
                    ? text
                    : text.substring(0, MAXIMUM_QUOTED_LENGTH) + "...";
        }

        String field() {
            return mField;
        }
    }

    String requireName(String field) throws InvalidField {
        JsonNode value = json.path(field);
        if (!value.isTextual() || !value.asText().matches(NAME_PATTERN)) {
            throw new InvalidField(field, value, "1 to 63 letters, digits and hyphens");
        }
        return value.asText();
    }

    long requireNumber(String field, long minimum, long maximum) throws InvalidField {
        JsonNode value = json.path(field);
        boolean whole = value.isIntegralNumber() && value.canConvertToLong();
        if (!whole || value.asLong() < minimum || value.asLong() > maximum) {
            throw new InvalidField(
                    field, value, "a whole number from " + minimum + " to " + maximum);
        }
        return value.asLong();
    }

    /** Returns an optional number, or 0 when it is absent. */
    long number(String field, long minimum, long maximum) throws InvalidField {
        return json.has(field) ? requireNumber(field, minimum, maximum) : 0;
    }

    /** Returns one of several words, or the first one when the field is absent. */
    String choice(String field, List<String> allowed) throws InvalidField {
        JsonNode value = json.path(field);
        if (value.isMissingNode()) {
            return allowed.getFirst();
        }
        if (!value.isTextual() || !allowed.contains(value.asText())) {
            throw new InvalidField(field, value, String.join(" or ", allowed));
        }
        return value.asText();
    }

    InetSocketAddress requireAddress(String field) throws InvalidField {
        JsonNode value = json.path(field);
        return AddressParser.parse(value.isTextual() ? value.asText() : "")
                .orElseThrow(() -> new InvalidField(field, value, "IP address and port"));
    }
}
