package org.arbutuslock.internal.settings;

/** Holds the settings in force, which may be reloaded while the node runs. Thread-safe. */
public final class LiveSettings {
    private volatile NodeSettings mCurrent;

    /**
     * Creates a holder.
     *
     * @param settings validated settings with which the node starts
     */
    public LiveSettings(NodeSettings settings) {
        mCurrent = settings;
    }

    /**
     * Returns the settings in force.
     *
     * @return the most recent valid settings
     */
    public NodeSettings current() {
        return mCurrent;
    }

    /**
     * Replaces the settings in force.
     *
     * @param settings validated settings
     */
    public void set(NodeSettings settings) {
        mCurrent = settings;
    }
}
