package org.arbutuslock.daemon.internal.sessions;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.Clock;

/** Accepts sessions from other nodes. */
public final class PeerServer {
    private final Channel mListener;
    private final Map<Channel, ServerSession> mSessions = new ConcurrentHashMap<>();

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
            ChannelMessageDispatcher channelMessages) {
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
                                        ServerSession session =
                                                new ServerSession(
                                                        localNode,
                                                        clock,
                                                        counts,
                                                        homeNode,
                                                        channelMessages);
                                        mSessions.put(channel, session);
                                        channel.closeFuture()
                                                .addListener(closed -> mSessions.remove(channel));
                                        session.install(channel);
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

    /**
     * Counts the sessions on which messages wait for the connection to take them.
     *
     * @return sessions of other nodes
     */
    public int sessionsWithPendingWrites() {
        return (int) mSessions.values().stream().filter(ServerSession::hasUnsent).count();
    }

    /** Closes the listener and all sessions. */
    public void close() {
        mListener.close().syncUninterruptibly();
        mSessions.keySet().forEach(channel -> channel.close().awaitUninterruptibly());
    }
}
