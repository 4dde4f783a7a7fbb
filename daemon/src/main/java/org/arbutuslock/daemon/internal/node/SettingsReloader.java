package org.arbutuslock.daemon.internal.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;
import org.arbutuslock.internal.settings.SettingsLoader;
import org.arbutuslock.internal.settings.SettingsResult;

/**
 * Reloads the settings file after a change. New bounds take effect at once; changes of other fields
 * take effect at the next start. An invalid file leaves the settings in force unchanged.
 */
public final class SettingsReloader {
    private static final EventLogger LOGGER = EventLogger.forComponent("settings");

    private final Path mFile;
    private final LiveSettings mSettings;
    private byte[] mContent;

    /**
     * Creates a reloader. Only changes after this call are noticed.
     *
     * @param file settings file, which has been loaded before
     * @param settings settings in force, which are updated
     */
    public SettingsReloader(Path file, LiveSettings settings) {
        mFile = file;
        mSettings = settings;
        mContent = read();
    }

    /** Reloads the file if its content has changed since the last check. Thread-safe. */
    public synchronized void reloadIfChanged() {
        byte[] content = read();
        if (content.length == 0 || Arrays.equals(content, mContent)) {
            return;
        }
        mContent = content;
        switch (new SettingsLoader().load(mFile)) {
            case SettingsResult.Invalid(List<?> problems) ->
                    LOGGER.log(Event.SETTINGS_REJECTED, mFile, problems);
            case SettingsResult.Loaded(NodeSettings settings) -> {
                boolean boundsOnly =
                        settings.equals(mSettings.current().withBounds(settings.bounds()));
                mSettings.set(mSettings.current().withBounds(settings.bounds()));
                LOGGER.log(
                        Event.SETTINGS_RELOADED,
                        mFile,
                        settings.bounds(),
                        boundsOnly
                                ? "nothing else changed"
                                : "other changes take effect after a restart");
            }
        }
    }

    private byte[] read() {
        try {
            return Files.readAllBytes(mFile);
        } catch (IOException unreadable) {
            LOGGER.log(Event.SETTINGS_REJECTED, mFile, unreadable);
            return new byte[0];
        }
    }
}
