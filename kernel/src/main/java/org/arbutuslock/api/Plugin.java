package org.arbutuslock.api;

import java.util.Set;

/**
 * One part of a node. A plug-in registers itself by an entry in {@code
 * META-INF/services/org.arbutuslock.api.Plugin}.
 *
 * <pre>{@code
 * public final class MetricsPlugin implements Plugin {
 *     public String name() { return "metrics"; }
 *     public Set<String> requires() { return Set.of("settings"); }
 *     public void start(PluginContext context) { ... }
 *     public void stop() { ... }
 * }
 * }</pre>
 */
public interface Plugin {
    /**
     * Returns the unique name of this plug-in.
     *
     * @return lower-case words joined by hyphens
     */
    String name();

    /**
     * Names the plug-ins that must have started before this one.
     *
     * @return names of plug-ins
     */
    Set<String> requires();

    /**
     * Tells whether this plug-in takes part in a node. Of several plug-ins with one name, the
     * settings select one.
     *
     * @param context the settings of the node
     * @return true when it shall be started
     * @throws PluginException when the settings are missing
     */
    default boolean isSelected(PluginContext context) throws PluginException {
        return true;
    }

    /**
     * Starts this plug-in: takes what it needs from the context and provides what others need.
     *
     * @param context components of the plug-ins that have started
     * @throws PluginException when this plug-in cannot start
     */
    void start(PluginContext context) throws PluginException;

    /**
     * Stops taking new work and waits, up to the node's limit, for work in progress. Called on
     * every plug-in in the order of start before any {@link #stop()}.
     */
    default void drain() {}

    /** Releases all resources. Called once, in reverse order of start. */
    void stop();
}
