package org.arbutuslock.daemon.internal.sessions;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutuslock.api.Clock;
import org.arbutuslock.daemon.internal.eventloops.Listeners;

/** Accepts sessions that other nodes open to this node. */
public final class PeerServer {
    private final Channel mListener;
    private final Map<Channel, ServerSession> mSessions = new ConcurrentHashMap<>();

    /**
     * Binds the address and starts to accept sessions. Throws {@link java.io.UncheckedIOException}
     * when the address cannot be bound.
     *
     * @param eventLoops event loops of the connections
     * @param address IP address and port to bind; port 0 chooses a free port
     * @param localNode identity of this node
     * @param clock time of heartbeats
     * @param counts counters of the sessions
     * @param homeNode executes the requests that arrive
     * @param messageDispatcher dispatches the messages of plug-ins
     */
    public PeerServer(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            LocalNode localNode,
            Clock clock,
            SessionCounts counts,
            HomeNode homeNode,
            ChannelMessageDispatcher messageDispatcher) {
        ServerBootstrap bootstrap =
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
                                                        messageDispatcher);
                                        mSessions.put(channel, session);
                                        channel.closeFuture()
                                                .addListener(closed -> mSessions.remove(channel));
                                        session.install(channel);
                                    }
                                });
        mListener = Listeners.bind(bootstrap, address);
    }

    /**
     * Returns the bound address.
     *
     * @return address with the actual port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /**
     * Counts the accepted sessions with messages that are not yet written to the connection.
     *
     * @return number of sessions
     */
    public int sessionsWithPendingWrites() {
        return (int) mSessions.values().stream().filter(ServerSession::hasPendingWrites).count();
    }

    /** Closes the listener and all accepted sessions, and waits until they are closed. */
    public void close() {
        mListener.close().syncUninterruptibly();
        List<ChannelFuture> closing = mSessions.keySet().stream().map(Channel::close).toList();
        closing.forEach(ChannelFuture::awaitUninterruptibly);
    }
}
