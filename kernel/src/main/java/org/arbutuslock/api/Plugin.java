package org.arbutuslock.api;

import java.util.Set;

/**
 * Component of a node that is started and stopped with it. Implementations are loaded with {@link
 * java.util.ServiceLoader} and listed in {@code META-INF/services/org.arbutuslock.api.Plugin}.
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
     * Returns the name of this plug-in, unique among the selected plug-ins of a node.
     *
     * @return lower-case words joined by hyphens
     */
    String name();

    /**
     * Returns the plug-ins that must be started before this one.
     *
     * @return names of the required plug-ins
     */
    Set<String> requires();

    /**
     * Tells whether this plug-in is part of the node. When several plug-ins have the same name, the
     * settings must select one of them.
     *
     * @param context context that provides the settings of the node; no plug-in is started yet
     * @return true when this plug-in is to be started
     * @throws PluginException when the settings are missing
     */
    default boolean isSelected(PluginContext context) throws PluginException {
        return true;
    }

    /**
     * Starts this plug-in. It gets the components it needs from the context and provides its own.
     *
     * @param context context with the components of the plug-ins that were started earlier
     * @throws PluginException when this plug-in cannot start
     */
    void start(PluginContext context) throws PluginException;

    /**
     * Stops accepting new work and waits, up to the drain time limit of the node, for work in
     * progress. Called on all plug-ins in the order of their start, before any {@link #stop()}.
     */
    default void drain() {}

    /** Releases all resources. Called once, in the reverse order of the start. */
    void stop();
}
