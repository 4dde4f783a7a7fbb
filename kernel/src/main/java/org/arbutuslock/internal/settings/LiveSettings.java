package org.arbutuslock.internal.settings;

/** Holds the settings in force while a node runs. Any thread. */
public final class LiveSettings {
    private volatile NodeSettings mCurrent;

    /**
     * Creates a holder.
     *
     * @param settings settings at the start
     */
    public LiveSettings(NodeSettings settings) {
        mCurrent = settings;
    }

    /**
     * Returns the settings in force.
     *
     * @return the newest settings that were free of problems
     */
    public NodeSettings current() {
        return mCurrent;
    }

    /**
     * Replaces the settings.
     *
     * @param settings checked settings
     */
    public void set(NodeSettings settings) {
        mCurrent = settings;
    }
}
