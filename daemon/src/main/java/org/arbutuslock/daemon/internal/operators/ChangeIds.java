package org.arbutuslock.daemon.internal.operators;

import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** Converts the change ids of operators, which are texts, to the UUIDs of the change log. */
final class ChangeIds {
    private static final int UUID_CHARACTERS = 36;

    private ChangeIds() {}

    /**
     * Parses a canonical UUID and hashes any other text to a name-based UUID. The same text always
     * gives the same UUID.
     */
    static UUID toUuid(String changeId) {
        return isCanonicalUuid(changeId)
                ? UUID.fromString(changeId)
                : UUID.nameUUIDFromBytes(changeId.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the text that the log stores to display the id, empty for a canonical UUID. */
    static String textToKeep(String changeId) {
        return isCanonicalUuid(changeId) ? "" : changeId;
    }

    private static boolean isCanonicalUuid(String text) {
        if (text.length() != UUID_CHARACTERS) {
            return false;
        }
        try {
            return UUID.fromString(text).toString().equals(text);
        } catch (IllegalArgumentException notUuid) {
            return false;
        }
    }
}
