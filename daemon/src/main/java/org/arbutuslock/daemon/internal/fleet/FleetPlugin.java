package org.arbutuslock.daemon.internal.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.configuration.ConfigurationPlugin;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.sessions.Addresses;
import org.arbutuslock.daemon.internal.sessions.ChannelMessages;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.settings.NodeSettings;

/** Provides the directory of nodes and endpoints. */
public final class FleetPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "fleet";

    private RecordExchange mExchange;
    private Future<?> mTicks;

    /** Creates the plug-in; called by the service loader. */
    public FleetPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(SessionsPlugin.NAME, ConfigurationPlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        FleetDirectory directory = new FleetDirectory();
        LocalEndpoints endpoints = context.require(LocalEndpoints.class);
        ConfigurationHolder configuration = context.require(ConfigurationHolder.class);
        List<String> seeds =
                context.require(NodeSettings.class).peers().seeds().stream()
                        .map(Addresses::format)
                        .toList();
        mExchange =
                new RecordExchange(
                        context.require(LocalNode.class),
                        context.require(Clock.class),
                        seeds,
                        context.require(PeerLinks.class),
                        directory,
                        endpoints::records,
                        () -> configuration.current().revision());
        context.require(ChannelMessages.class)
                .listen(
                        PeerMessage.Channel.MEMBERSHIP,
                        (node, payload, reply) -> mExchange.receive(payload));
        EventLoop eventLoop = context.require(EventLoopGroup.class).next();
        endpoints.addListener(change -> eventLoop.execute(mExchange::tick));
        long interval = RecordExchange.INTERVAL.toMillis();
        mTicks =
                eventLoop.scheduleWithFixedDelay(
                        mExchange::tick, 0, interval, TimeUnit.MILLISECONDS);
        context.provide(FleetDirectory.class, directory);
    }

    @Override
    public void drain() {
        mExchange.drain();
    }

    @Override
    public void stop() {
        mTicks.cancel(false);
    }
}
