package org.arbutuslock.daemon.internal.sessions;

import io.netty.channel.EventLoopGroup;
import java.util.Set;
import org.arbutuslock.api.Clock;
import org.arbutuslock.api.Plugin;
import org.arbutuslock.api.PluginContext;
import org.arbutuslock.api.PluginException;
import org.arbutuslock.daemon.internal.home.HomePlugin;
import org.arbutuslock.internal.settings.NodeSettings;

/** Provides sessions with other nodes. */
public final class SessionsPlugin implements Plugin {
    /** Name of this plug-in. */
    public static final String NAME = "sessions";

    private PeerServer mServer;
    private PeerLinks mLinks;

    /** Creates the plug-in; called by the service loader. */
    public SessionsPlugin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> requires() {
        return Set.of(HomePlugin.NAME);
    }

    @Override
    public void start(PluginContext context) throws PluginException {
        EventLoopGroup eventLoops = context.require(EventLoopGroup.class);
        LocalNode localNode = context.require(LocalNode.class);
        Clock clock = context.require(Clock.class);
        ChannelMessageDispatcher messages = new ChannelMessageDispatcher();
        SessionCounts counts = new SessionCounts();
        mLinks = new PeerLinks(eventLoops, localNode, clock, counts, messages);
        mServer =
                new PeerServer(
                        eventLoops,
                        context.require(NodeSettings.class).peers().address(),
                        localNode,
                        clock,
                        counts,
                        context.require(HomeNode.class),
                        messages);
        context.provide(SessionCounts.class, counts);
        context.provide(ChannelMessageDispatcher.class, messages);
        context.provide(PeerLinks.class, mLinks);
        context.provide(PeerServer.class, mServer);
    }

    @Override
    public void stop() {
        mServer.close();
        mLinks.close();
    }
}
