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
 * Reloads the settings file when it changes. Bounds take effect at once, other fields at the next
 * start; a file with problems leaves the settings as they are.
 */
public final class SettingsReloader {
    private static final EventLogger LOGGER = EventLogger.forComponent("settings");

    private final Path mFile;
    private final LiveSettings mSettings;
    private byte[] mContent;

    /**
     * Creates a reloader for a file that has been loaded.
     *
     * @param file settings file
     * @param settings settings in force
     */
    public SettingsReloader(Path file, LiveSettings settings) {
        mFile = file;
        mSettings = settings;
        mContent = read();
    }

    /** Loads the file again if its content has changed. Any thread. */
    public synchronized void check() {
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
                        boundsOnly ? "nothing else changed" : "other changes wait for a restart");
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
