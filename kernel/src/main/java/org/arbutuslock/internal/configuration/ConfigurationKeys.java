package org.arbutuslock.internal.configuration;

import java.util.Locale;

/** Keys of the configuration's entries in the platform's store. */
final class ConfigurationKeys {
    static final String CHANGES = "configuration/changes/";
    static final String SNAPSHOT_HEAD = "configuration/snapshot-head";
    private static final String SNAPSHOTS = "configuration/snapshots/";

    private ConfigurationKeys() {}

    /** Pads the revision to 20 digits, enough for every long, so that keys sort by revision. */
    static String change(long revision) {
        return CHANGES + String.format(Locale.ROOT, "%020d", revision);
    }

    /** Returns the revision in the key of a change, or 0 for any other key. */
    static long revisionOf(String key) {
        String digits = key.substring(Math.min(key.length(), CHANGES.length()));
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException foreignKey) {
            return 0;
        }
    }

    /** Returns the key after which a list has to start for its first entry to be the revision. */
    static String before(long revision) {
        return revision <= 0 ? "" : change(revision - 1);
    }

    static String snapshotPart(long revision, int part) {
        return SNAPSHOTS + String.format(Locale.ROOT, "%020d/%05d", revision, part);
    }
}
