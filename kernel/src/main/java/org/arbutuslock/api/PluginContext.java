package org.arbutuslock.api;

/** Registry of components through which plug-ins find each other. */
public interface PluginContext {
    /**
     * Returns a component.
     *
     * @param type type under which the component was provided
     * @param <T> type of the component
     * @return the component
     * @throws PluginException when nothing was provided under that type
     */
    <T> T require(Class<T> type) throws PluginException;

    /**
     * Registers a component for the plug-ins that are started later.
     *
     * @param type type under which the component is found
     * @param component component to register
     * @param <T> type of the component
     * @throws PluginException when a component was already provided under that type
     */
    <T> void provide(Class<T> type, T component) throws PluginException;
}
