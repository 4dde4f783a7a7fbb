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
 * One running node. Several can run in one process, for tests and benchmarks.
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
     * Starts all plug-ins on the class path.
     *
     * @param settings checked settings
     * @param clock time of the node
     * @return the running node
     * @throws PluginException when a plug-in cannot start; what was started is stopped again
     */
    public static Node start(NodeSettings settings, Clock clock) throws PluginException {
        return start(new LiveSettings(settings), clock);
    }

    /**
     * Starts all plug-ins on the class path.
     *
     * @param live checked settings, which may change while the node runs
     * @param clock time of the node
     * @return the running node
     * @throws PluginException when a plug-in cannot start; what was started is stopped again
     */
    public static Node start(LiveSettings live, Clock clock) throws PluginException {
        NodeSettings settings = live.current();
        // Milliseconds since the epoch grow from one run of a host to the next.
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
     * Finds a component of a plug-in, for tests and benchmarks.
     *
     * @param type type under which it is provided
     * @param <T> type of the component
     * @return the component
     */
    public <T> T component(Class<T> type) {
        try {
            return mPlugins.require(type);
        } catch (PluginException missing) {
            throw new IllegalArgumentException(missing);
        }
    }

    /** Stops taking new work and waits for work in progress, up to the drain limit. */
    public void drain() {
        LOGGER.log(Event.NODE_DRAINING, mLocalNode.name());
        mPlugins.drain();
    }

    /** Stops all plug-ins. */
    public void stop() {
        mPlugins.stop();
        LOGGER.log(Event.NODE_STOPPED, mLocalNode.name());
    }
}
