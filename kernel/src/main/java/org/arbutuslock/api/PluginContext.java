package org.arbutuslock.api;

/** Gives a plug-in the components of the plug-ins that started before it. */
public interface PluginContext {
    /**
     * Finds a component.
     *
     * @param type type under which it was provided
     * @param <T> type of the component
     * @return the component
     * @throws PluginException when nothing was provided under that type
     */
    <T> T require(Class<T> type) throws PluginException;

    /**
     * Offers a component to the plug-ins that start later.
     *
     * @param type type under which others find it
     * @param component the component
     * @param <T> type of the component
     * @throws PluginException when the type was provided before
     */
    <T> void provide(Class<T> type, T component) throws PluginException;
}
