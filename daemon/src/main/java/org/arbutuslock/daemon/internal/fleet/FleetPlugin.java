package org.arbutuslock.daemon.internal.fleet;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.configuration.ConfigurationPlugin;
import org.arbutuslock.daemon.internal.home.LocalEndpoints;
import org.arbutuslock.daemon.internal.home.ServiceEndpointCounts;
import org.arbutuslock.daemon.internal.sessions.Addresses;
import org.arbutuslock.daemon.internal.sessions.ChannelMessageDispatcher;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.daemon.internal.sessions.PeerLinks;
import org.arbutuslock.daemon.internal.sessions.SessionsPlugin;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.membership.GossipProtocol;
import org.arbutuslock.internal.membership.GossipSettings;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.settings.NodeSettings;

/** Provides the directory of nodes and endpoints. */
public final class FleetPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "fleet";

    private GossipRunner mRunner;

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
        mRunner =
                new GossipRunner(
                        createProtocol(context),
                        context.require(EventLoopGroup.class).next(),
                        context.require(PeerLinks.class),
                        directory,
                        endpoints::records,
                        () -> configuration.current().revision());
        context.require(ChannelMessageDispatcher.class)
                .listen(
                        PeerMessage.Channel.MEMBERSHIP,
                        (node, payload, reply) -> mRunner.receive(payload));
        endpoints.addListener(change -> mRunner.update());
        mRunner.start();
        context.require(ServiceEndpointCounts.class).setFleet(directory::current);
        context.provide(FleetDirectory.class, directory);
        context.provide(FleetContacts.class, mRunner);
    }

    private static GossipProtocol createProtocol(PluginContext context) throws PluginException {
        LocalNode localNode = context.require(LocalNode.class);
        NodeRecord record =
                new NodeRecord(
                        localNode.name(),
                        localNode.incarnation(),
                        0,
                        localNode.peerAddress(),
                        localNode.region(),
                        localNode.availabilityZone(),
                        0,
                        false,
                        List.of());
        List<String> seeds =
                context.require(NodeSettings.class).peers().seeds().stream()
                        .map(Addresses::format)
                        .toList();
        return new GossipProtocol(
                record,
                seeds,
                GossipSettings.DEFAULT,
                context.require(Clock.class),
                new SplittableRandom(localNode.incarnation() ^ localNode.name().hashCode()));
    }

    @Override
    public void drain() {
        mRunner.drain();
    }

    @Override
    public void stop() {
        mRunner.stop();
    }
}
