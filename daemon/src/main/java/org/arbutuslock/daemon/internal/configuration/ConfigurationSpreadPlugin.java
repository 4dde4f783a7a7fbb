package org.arbutuslock.daemon.internal.configuration;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.api.store.PlatformStore;
import org.arbutuslock.daemon.internal.eventloops.RepeatedTask;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.metrics.MetricsPlugin;
import org.arbutuslock.daemon.internal.sessions.ChannelMessageDispatcher;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.spread.ConfigurationSpread;
import org.arbutuslock.internal.configuration.spread.NodeIdentity;
import org.arbutuslock.internal.configuration.spread.SpreadRunner;
import org.arbutuslock.internal.configuration.spread.WatcherSlots;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Keeps the configuration up to date. Exchanges changes with other nodes and, while this node is a
 * watcher of its availability zone, follows the change log in the platform's store.
 */
public final class ConfigurationSpreadPlugin implements Plugin {
    /** Name under which other plug-ins require this one. */
    public static final String NAME = "configuration-spread";

    private static final EventLogger LOGGER = EventLogger.forComponent("configuration");

    private SpreadRunner mRunner;
    private Future<?> mTicks;

    /** Creates the plug-in. Called by {@link java.util.ServiceLoader}. */
    public ConfigurationSpreadPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(ConfigurationPlugin.NAME, FleetPlugin.NAME, MetricsPlugin.NAME);
    }

    @Override
    public boolean isSelected(PluginContext context) throws PluginException {
        return context.require(NodeSettings.class).integration() == NodeSettings.Integration.NONE;
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        EventLoop eventLoop = context.require(EventLoopGroup.class).next();
        mRunner = createRunner(context, eventLoop);
        FleetDirectory fleet = context.require(FleetDirectory.class);
        fleet.addListener(mRunner::updateFleet);
        mRunner.updateFleet(fleet.current());
        mRunner.start();
        context.require(ChannelMessageDispatcher.class)
                .listen(
                        PeerMessage.Channel.CONFIGURATION,
                        (node, payload, reply) -> mRunner.receive(node, payload));
        long interval = ConfigurationSpread.TICK_INTERVAL.toMillis();
        mTicks =
                eventLoop.scheduleWithFixedDelay(
                        new RepeatedTask("configuration spread", mRunner::tick),
                        0,
                        interval,
                        TimeUnit.MILLISECONDS);
        registerMetrics(context.require(MeterRegistry.class));
        context.provide(SpreadRunner.class, mRunner);
    }

    private void registerMetrics(MeterRegistry registry) {
        Gauge.builder(
                        "arbutuslock.configuration.watching",
                        mRunner,
                        runner -> runner.status().watching() ? 1 : 0)
                .description("1 while this node watches the change log")
                .register(registry);
        Gauge.builder(
                        "arbutuslock.configuration.refusals",
                        mRunner,
                        runner -> runner.status().refusals())
                .description("messages of peers about the configuration that were refused")
                .register(registry);
    }

    private static SpreadRunner createRunner(PluginContext context, EventLoop eventLoop)
            throws PluginException {
        LocalNode localNode = context.require(LocalNode.class);
        ConfigurationHolder holder = context.require(ConfigurationHolder.class);
        PeerLinks links = context.require(PeerLinks.class);
        NodeIdentity identity =
                new NodeIdentity(
                        localNode.name(),
                        localNode.peerAddress(),
                        localNode.region(),
                        localNode.availabilityZone());
        ConfigurationSpread spread =
                new ConfigurationSpread(
                        identity,
                        holder::current,
                        context.require(Clock.class),
                        new SplittableRandom(
                                localNode.incarnation() ^ localNode.name().hashCode()));
        return new SpreadRunner(
                spread,
                holder,
                context.require(ConfigurationLog.class),
                new WatcherSlots(
                        context.require(PlatformStore.class),
                        localNode.availabilityZone(),
                        localNode.name()),
                (address, payload) -> send(links, address, payload),
                eventLoop);
    }

    private static void send(PeerLinks links, String address, byte[] payload) {
        try {
            links.send(address, PeerMessage.Channel.CONFIGURATION, payload);
        } catch (IllegalArgumentException malformed) {
            // The address comes from a record or message of another node and may be malformed.
            LOGGER.log(Event.SESSION_CONNECT_FAILED, address, malformed.getMessage());
        }
    }

    @Override
    public void stop() {
        mTicks.cancel(false);
        mRunner.stop();
    }
}
