package org.arbutuslock.internal.settings;

import java.util.List;

/** Values that a field allows. */
sealed interface FieldRule {
    /** Describes the allowed values, in the words of error messages and of docs/settings.md. */
    String allowed();

    /** A string of letters, digits and hyphens. */
    record Name() implements FieldRule {
        @Override
        public String allowed() {
            return "1 to 63 letters, digits and hyphens";
        }
    }

    /** An integer; both bounds are allowed values. */
    record IntegerRange(long minimum, long maximum) implements FieldRule {
        @Override
        public String allowed() {
            return minimum + " to " + maximum;
        }
    }

    /** A number that may have a fraction; both bounds are allowed values. */
    record DecimalRange(double minimum, double maximum) implements FieldRule {
        @Override
        public String allowed() {
            return minimum + " to " + maximum;
        }
    }

    /** One of several words. */
    record Choice(List<String> words) implements FieldRule {
        @Override
        public String allowed() {
            return String.join(" or ", words);
        }
    }

    /** An IP address and port. */
    record Address() implements FieldRule {
        @Override
        public String allowed() {
            return "IP address and port";
        }
    }

    /** A list of IP addresses and ports. */
    record Addresses(int maximumEntries) implements FieldRule {
        @Override
        public String allowed() {
            return "list of at most " + maximumEntries + " IP addresses and ports";
        }
    }

    /** Path of a file, relative to the settings file. */
    record FilePath() implements FieldRule {
        @Override
        public String allowed() {
            return "path of a readable file";
        }
    }

    /** An object that maps common names of certificates to roles. */
    record Roles() implements FieldRule {
        @Override
        public String allowed() {
            return "object of certificate names with the value viewer or operator";
        }
    }
}
