package org.arbutuslock.internal.plugins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Starts plug-ins in the order of their requirements and stops them in reverse order. Not
 * thread-safe.
 *
 * <pre>{@code
 * PluginRuntime runtime = new PluginRuntime(ServiceLoader.load(Plugin.class));
 * runtime.provide(Clock.class, Clock.system());
 * runtime.start();
 * ...
 * runtime.stop();
 * }</pre>
 */
public final class PluginRuntime implements PluginContext {
    private static final EventLogger LOGGER = EventLogger.forComponent("plugins");
    private static final String STEP = "start plug-ins";
    private static final String LOCAL_PROCESS = "this process";

    private final Iterable<Plugin> mCandidates;
    private final Map<String, Plugin> mPlugins = new LinkedHashMap<>();
    private final Map<Class<?>, Object> mComponents = new HashMap<>();
    private final Deque<Plugin> mStarted = new ArrayDeque<>();

    /**
     * Creates a runtime without starting any plug-in.
     *
     * @param plugins plug-ins in any order, iterated by {@link #start()}; a plug-in whose {@link
     *     Plugin#isSelected} returns false is ignored
     */
    public PluginRuntime(Iterable<Plugin> plugins) {
        mCandidates = plugins;
    }

    private void select() throws PluginException {
        for (Plugin plugin : mCandidates) {
            if (plugin.isSelected(this) && mPlugins.putIfAbsent(plugin.name(), plugin) != null) {
                throw failure(
                        "two plug-ins are named \""
                                + plugin.name()
                                + "\"; remove one from the class path");
            }
        }
    }

    @Override
    public <T> T require(Class<T> type) throws PluginException {
        Object component = mComponents.get(type);
        if (component == null) {
            throw failure(
                    "no plug-in that was started earlier provides "
                            + type.getName()
                            + "; add the plug-in that provides it to requires()");
        }
        return type.cast(component);
    }

    @Override
    public <T> void provide(Class<T> type, T component) throws PluginException {
        if (mComponents.putIfAbsent(type, component) != null) {
            throw failure(type.getName() + " is provided twice; provide it from one plug-in only");
        }
    }

    /**
     * Starts all selected plug-ins. When one fails to start, those already started are stopped.
     *
     * @throws PluginException when a name is used twice, a requirement is missing or cyclic, or a
     *     plug-in fails to start
     */
    public void start() throws PluginException {
        select();
        List<Plugin> ordered = orderByRequirements(mPlugins.values());
        for (Plugin plugin : ordered) {
            try {
                plugin.start(this);
            } catch (PluginException failed) {
                stop();
                throw failed;
            } catch (Exception failed) {
                // Libraries also throw checked exceptions that they do not declare.
                stop();
                throw failure("plug-in \"" + plugin.name() + "\" could not be started: " + failed);
            }
            mStarted.push(plugin);
            LOGGER.log(Event.PLUGIN_STARTED, plugin.name());
        }
    }

    /**
     * Drains all started plug-ins in the order in which they were started, so that the node
     * announces its departure before any plug-in waits for work in progress.
     */
    public void drain() {
        mStarted.descendingIterator().forEachRemaining(Plugin::drain);
    }

    /** Stops all started plug-ins in reverse order of their start. Later calls have no effect. */
    public void stop() {
        while (!mStarted.isEmpty()) {
            mStarted.pop().stop();
        }
    }

    private List<Plugin> orderByRequirements(Collection<Plugin> plugins) throws PluginException {
        Map<String, Boolean> finished = new HashMap<>();
        List<Plugin> ordered = new ArrayList<>();
        for (Plugin plugin : plugins) {
            appendAfterRequirements(plugin, finished, ordered);
        }
        return ordered;
    }

    private void appendAfterRequirements(
            Plugin plugin, Map<String, Boolean> finished, List<Plugin> ordered)
            throws PluginException {
        Boolean state = finished.get(plugin.name());
        if (Boolean.TRUE.equals(state)) {
            return;
        }
        if (Boolean.FALSE.equals(state)) {
            throw failure(
                    "plug-in \""
                            + plugin.name()
                            + "\" requires itself through other plug-ins; remove the cycle");
        }
        finished.put(plugin.name(), false);
        for (String required : plugin.requires()) {
            Plugin other = mPlugins.get(required);
            if (other == null) {
                throw failure(
                        "plug-in \""
                                + plugin.name()
                                + "\" requires \""
                                + required
                                + "\", which is not on the class path"
                                + " or not selected by the settings");
            }
            appendAfterRequirements(other, finished, ordered);
        }
        finished.put(plugin.name(), true);
        ordered.add(plugin);
    }

    private static PluginException failure(String reason) {
        return new PluginException(new Failure(STEP, LOCAL_PROCESS, reason));
    }
}
