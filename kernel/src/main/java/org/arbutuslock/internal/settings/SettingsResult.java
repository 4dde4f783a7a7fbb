package org.arbutuslock.internal.settings;

import java.util.List;

/** Result of loading a settings file. */
public sealed interface SettingsResult {
    /**
     * The file is valid.
     *
     * @param settings settings of the file, with defaults for fields that are not set
     */
    record Loaded(NodeSettings settings) implements SettingsResult {}

    /**
     * The file is invalid.
     *
     * @param problems all problems of the file, ordered by position; never empty
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {}
}
