package org.arbutuslock.internal.settings;

import java.util.List;

/** Outcome of loading settings. */
public sealed interface SettingsResult {
    /**
     * The file is valid.
     *
     * @param settings its settings
     */
    record Loaded(NodeSettings settings) implements SettingsResult {}

    /**
     * The file is invalid.
     *
     * @param problems all problems, in the order of the file; at least one
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {}
}
