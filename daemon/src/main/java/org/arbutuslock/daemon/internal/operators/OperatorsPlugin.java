package org.arbutuslock.daemon.internal.operators;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Failure;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.api.Result;
import org.arbutuslock.daemon.internal.configuration.ConfigurationPlugin;
import org.arbutuslock.daemon.internal.ejection.EjectionPlugin;
import org.arbutuslock.daemon.internal.ejection.EjectionRunner;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.home.HomePlugin;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.metrics.MetricsPlugin;
import org.arbutuslock.daemon.internal.metrics.RequestWindows;
import org.arbutuslock.daemon.internal.sessions.ChannelMessageDispatcher;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.daemon.internal.store.MonitoredStore;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.TaskTimer;
import org.arbutuslock.internal.dialect.ConfigurationDialect;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Runs the gRPC server for operators at the address {@code operators.address}. The server starts
 * with the node, or at the first connection when the node is integrated with a platform.
 */
public final class OperatorsPlugin implements Plugin {
    /** Name that other plug-ins use to require this one. */
    public static final String NAME = "operators";

    // A connection that an operator left open lasts for the whole grace; the stop of all plug-ins
    // together has 0.2 s.
    private static final Duration STOP_GRACE = Duration.ofMillis(100);

    private Runnable mStop;

    /** Called by the service loader. */
    public OperatorsPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(
                ConfigurationPlugin.NAME,
                SessionsPlugin.NAME,
                HomePlugin.NAME,
                FleetPlugin.NAME,
                EjectionPlugin.NAME,
                MetricsPlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        NodeSettings settings = context.require(NodeSettings.class);
        OperatorsBackend backend = createBackend(context, settings);
        switch (settings.integration()) {
            case NONE -> startNow(settings, backend);
            case PLATFORM ->
                    startOnDemand(context.require(EventLoopGroup.class), settings, backend);
        }
    }

    private void startNow(NodeSettings settings, OperatorsBackend backend) throws PluginException {
        Result<OperatorsServer> result =
                OperatorsServer.start(settings.operators().address(), settings.tls(), backend);
        switch (result) {
            case Result.Success<OperatorsServer>(OperatorsServer server) ->
                    mStop = () -> server.stop(STOP_GRACE);
            case Result.Failed<OperatorsServer>(Failure failure) ->
                    throw new PluginException(failure);
        }
    }

    private void startOnDemand(
            EventLoopGroup eventLoops, NodeSettings settings, OperatorsBackend backend) {
        OnDemandListener listener =
                new OnDemandListener(
                        eventLoops,
                        settings.operators().address(),
                        address -> OperatorsServer.start(address, settings.tls(), backend));
        mStop =
                () -> {
                    listener.close();
                    listener.server().ifPresent(server -> server.stop(STOP_GRACE));
                };
    }

    private static OperatorsBackend createBackend(PluginContext context, NodeSettings settings)
            throws PluginException {
        Clock clock = context.require(Clock.class);
        ConfigurationHolder holder = context.require(ConfigurationHolder.class);
        FleetDirectory fleet = context.require(FleetDirectory.class);
        EventLoop eventLoop = context.require(EventLoopGroup.class).next();
        TaskTimer timer =
                (delay, task) -> eventLoop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
        HomeEndpoints home =
                new HomeEndpoints(
                        context.require(LocalEndpoints.class),
                        context.require(EjectionRunner.class),
                        clock,
                        timer);
        PeerEndpoints peers =
                new PeerEndpoints(context.require(PeerLinks.class)::trySend, home, timer);
        context.require(ChannelMessageDispatcher.class)
                .listen(PeerMessage.Channel.OPERATORS, peers::receive);
        ConfigurationChanges changes = createChanges(context, settings, holder);
        return new NodeOperatorsBackend(
                changes,
                new ConfigurationQueries(changes, holder, settings.nodeName()),
                new FleetQueries(
                        settings, fleet::current, holder, context.require(MonitoredStore.class)),
                new EndpointCommands(settings.nodeName(), fleet::current, home, peers),
                new TopQueries(settings.nodeName(), context.require(RequestWindows.class)));
    }

    private static ConfigurationChanges createChanges(
            PluginContext context, NodeSettings settings, ConfigurationHolder holder)
            throws PluginException {
        return switch (settings.integration()) {
            case NONE ->
                    new ChangeCommands(
                            context.require(ConfigurationLog.class),
                            holder,
                            context.require(Clock.class));
            case PLATFORM ->
                    new ReadOnlyConfigurationChanges(
                            context.require(ConfigurationDialect.class).key(),
                            holder,
                            settings.nodeName());
        };
    }

    @Override
    public void stop() {
        mStop.run();
    }
}
