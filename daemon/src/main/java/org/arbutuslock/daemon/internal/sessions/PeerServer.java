package org.arbutuslock.daemon.internal.sessions;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import org.arbutuslock.api.Clock;

/** Accepts sessions from other nodes. */
public final class PeerServer {
    private final Channel mListener;
    private final ChannelGroup mSessions = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /**
     * Starts to listen.
     *
     * @param eventLoops event loops of the connections
     * @param address IP address and port
     * @param localNode identity of this node
     * @param clock time of heartbeats
     * @param counts counts the sessions
     * @param homeNode executes the requests
     * @param channelMessages receivers of messages of plug-ins
     */
    public PeerServer(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            HomeNode homeNode,
            ChannelMessages channelMessages) {
        mListener =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1_024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerLink.WATER_MARK)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        mSessions.add(channel);
                                        new ServerSession(
                                                        localNode,
                                                        clock,
                                                        counts,
                                                        homeNode,
                                                        channelMessages)
                                                .install(channel);
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
    }

    /**
     * Returns the address at which this server listens.
     *
     * @return address with the actual port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Closes the listener and all sessions. */
    public void close() {
        mListener.close().syncUninterruptibly();
        mSessions.close().awaitUninterruptibly();
    }
}
