package org.arbutuslock.daemon.internal.node;

import java.util.ServiceLoader;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.sessions.Addresses;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.plugins.PluginRuntime;
import org.arbutuslock.internal.settings.LiveSettings;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * A running node. Tests and benchmarks run several nodes in one process.
 *
 * <pre>{@code
 * Node node = Node.start(settings, Clock.system());
 * ...
 * node.drain();
 * node.stop();
 * }</pre>
 */
public final class Node {
    private static final EventLogger LOGGER = EventLogger.forComponent("node");

    private final LocalNode mLocalNode;
    private final PluginRuntime mPlugins;

    private Node(LocalNode localNode, PluginRuntime plugins) {
        mLocalNode = localNode;
        mPlugins = plugins;
    }

    /**
     * Starts a node with all plug-ins on the class path and fixed settings.
     *
     * @param settings validated settings
     * @param clock clock for all components of the node
     * @return the running node
     * @throws PluginException when a plug-in cannot start; plug-ins that had started are stopped
     */
    public static Node start(NodeSettings settings, Clock clock) throws PluginException {
        return start(new LiveSettings(settings), clock);
    }

    /**
     * Starts a node with all plug-ins on the class path and settings that can be reloaded.
     *
     * @param live validated settings, which may change while the node runs
     * @param clock clock for all components of the node
     * @return the running node
     * @throws PluginException when a plug-in cannot start; plug-ins that had started are stopped
     */
    public static Node start(LiveSettings live, Clock clock) throws PluginException {
        NodeSettings settings = live.current();
        // The start time serves as the incarnation because it grows with each start of the node.
        LocalNode localNode =
                new LocalNode(
                        settings.nodeName(),
                        clock.wallTimeMillis(),
                        settings.region(),
                        settings.availabilityZone(),
                        Addresses.format(settings.peers().advertisedAddress()));
        PluginRuntime plugins = new PluginRuntime(ServiceLoader.load(Plugin.class));
        plugins.provide(NodeSettings.class, settings);
        plugins.provide(LiveSettings.class, live);
        plugins.provide(Clock.class, clock);
        plugins.provide(LocalNode.class, localNode);
        plugins.start();
        LOGGER.log(Event.NODE_STARTED, localNode.name(), localNode.incarnation());
        return new Node(localNode, plugins);
    }

    /**
     * Returns a component that a plug-in provides. For tests and benchmarks.
     *
     * @param type type under which the component is provided
     * @param <T> type of the component
     * @return the component
     * @throws IllegalArgumentException when no plug-in provides this type
     */
    public <T> T component(Class<T> type) {
        try {
            return mPlugins.require(type);
        } catch (PluginException missing) {
            throw new IllegalArgumentException(missing);
        }
    }

    /** Refuses new requests and waits for requests in progress, at most up to the drain limit. */
    public void drain() {
        LOGGER.log(Event.NODE_DRAINING, mLocalNode.name());
        mPlugins.drain();
    }

    /** Stops all plug-ins, even while requests are in progress. */
    public void stop() {
        mPlugins.stop();
        LOGGER.log(Event.NODE_STOPPED, mLocalNode.name());
    }
}
