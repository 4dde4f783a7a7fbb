package org.arbutuslock.daemon.internal.operators;

import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** Converts change ids of operators to those of the change log, always in the same way. */
final class ChangeIds {
    private static final int UUID_CHARACTERS = 36;

    private ChangeIds() {}

    /** A canonical UUID stands for itself; any other text is hashed to a name-based UUID. */
    static UUID toUuid(String changeId) {
        return isCanonicalUuid(changeId)
                ? UUID.fromString(changeId)
                : UUID.nameUUIDFromBytes(changeId.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns what the log must keep to show the operator's own id again. */
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
