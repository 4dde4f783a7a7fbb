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
import org.arbutuslock.daemon.internal.ejection.EndpointGuards;
import org.arbutuslock.daemon.internal.fleet.FleetDirectory;
import org.arbutuslock.daemon.internal.fleet.FleetPlugin;
import org.arbutuslock.daemon.internal.home.HomePlugin;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.metrics.MetricsPlugin;
import org.arbutuslock.daemon.internal.metrics.RequestWindows;
import org.arbutuslock.daemon.internal.sessions.ChannelMessages;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.daemon.internal.store.MonitoredStore;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.configuration.ConfigurationLog;
import org.arbutuslock.internal.configuration.RetryTimer;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.settings.NodeSettings;

/** Serves operators at the operators' address. */
public final class OperatorsPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "operators";

    private static final Duration STOP_GRACE = Duration.ofSeconds(1);

    private OperatorsServer mServer;

    /** Creates the plug-in; called by the service loader. */
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
    public boolean isSelected(PluginContext context) throws PluginException {
        return context.require(NodeSettings.class).integration() == NodeSettings.Integration.NONE;
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        NodeSettings settings = context.require(NodeSettings.class);
        Result<OperatorsServer> result =
                OperatorsServer.start(
                        settings.operators().address(),
                        settings.tls(),
                        createBackend(context, settings));
        switch (result) {
            case Result.Success<OperatorsServer>(OperatorsServer server) -> mServer = server;
            case Result.Failed<OperatorsServer>(Failure failure) ->
                    throw new PluginException(failure);
        }
    }

    private static OperatorsBackend createBackend(PluginContext context, NodeSettings settings)
            throws PluginException {
        Clock clock = context.require(Clock.class);
        ConfigurationLog log = context.require(ConfigurationLog.class);
        ConfigurationHolder holder = context.require(ConfigurationHolder.class);
        FleetDirectory fleet = context.require(FleetDirectory.class);
        EventLoop eventLoop = context.require(EventLoopGroup.class).next();
        RetryTimer timer =
                (delay, task) -> eventLoop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
        HomeEndpoints home =
                new HomeEndpoints(
                        context.require(LocalEndpoints.class),
                        context.require(EndpointGuards.class),
                        clock,
                        timer);
        PeerEndpoints peers =
                new PeerEndpoints(context.require(PeerLinks.class)::trySend, home, timer);
        context.require(ChannelMessages.class)
                .listen(PeerMessage.Channel.OPERATORS, peers::receive);
        return new NodeOperatorsBackend(
                new ChangeCommands(log, holder, clock),
                new ConfigurationQueries(log, holder, settings.nodeName()),
                new FleetQueries(
                        settings, fleet::current, holder, context.require(MonitoredStore.class)),
                new EndpointCommands(settings.nodeName(), fleet::current, home, peers),
                new TopQueries(settings.nodeName(), context.require(RequestWindows.class)));
    }

    @Override
    public void stop() {
        mServer.stop(STOP_GRACE);
    }
}
