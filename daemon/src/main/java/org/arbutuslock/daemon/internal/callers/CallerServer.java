package org.arbutuslock.daemon.internal.callers;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.daemon.internal.eventloops.Listeners;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/** Accepts HTTP/1.1 connections of callers. */
public final class CallerServer {
    private static final EventLogger LOGGER = EventLogger.forComponent("callers");

    // Each one may hold up to 320 KiB: its initial credit and what was buffered before it.
    private static final int MAXIMUM_OVERTAKING_REQUESTS = 192;

    private final Channel mListener;
    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger mActiveRequests = new AtomicInteger();
    private final AtomicLong mLastSequence = new AtomicLong();
    private final OvertakingLimit mOvertakingLimit =
            new OvertakingLimit(MAXIMUM_OVERTAKING_REQUESTS);
    private final EntryServices mServices;
    private final RequestPreparer mPreparer;
    private volatile boolean mDraining;
    private volatile boolean mRefusing;

    /**
     * Binds the address and starts to accept connections.
     *
     * @param eventLoops event loops of the connections; {@link #close} does not shut them down
     * @param address IP address and port; port 0 binds a free port
     * @param limits limits of the connections, which the configuration in force may restrict
     * @param services components that handle the requests
     */
    public CallerServer(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            CallerLimits limits,
            EntryServices services) {
        mServices = services;
        mPreparer = new RequestPreparer(this, services);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 4_096)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        addHandlers(channel, limits);
                                    }
                                });
        mListener = Listeners.bind(bootstrap, address);
    }

    private void addHandlers(Channel channel, CallerLimits limits) {
        if (mConnections.size() >= limits.connections()) {
            LOGGER.log(Event.CALLER_LIMIT_REACHED, channel.remoteAddress(), limits.connections());
            channel.close();
            return;
        }
        mConnections.add(channel);
        CallerLimits inForce =
                limits.restrictedTo(mServices.configuration().current().callerBounds());
        HttpDecoderConfig decoder =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(inForce.maximumHeaderBytes())
                        .setMaxHeaderSize(inForce.maximumHeaderBytes());
        HeadTimeout headTimeout = new HeadTimeout(inForce.headTimeout());
        CallerConnection connection =
                new CallerConnection(this, mServices, inForce.maximumBodyBytes());
        long idleMillis = inForce.idleTimeout().toMillis();
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, idleMillis, TimeUnit.MILLISECONDS),
                        headTimeout,
                        new HttpServerCodec(decoder),
                        headTimeout.observer(),
                        new RequestAggregator(inForce.maximumBodyBytes(), connection::hasRequests),
                        connection);
    }

    /**
     * Returns the address at which this server listens.
     *
     * @return the address with the bound port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /**
     * Counts the requests in progress.
     *
     * @return number of requests whose response is not completely written
     */
    public int activeRequests() {
        return mActiveRequests.get();
    }

    /**
     * Asks callers to reconnect to another node. Each further response carries {@code Connection:
     * close} and closes its connection. Behind a response that has started already, no request is
     * read before the response has ended.
     */
    public void startDraining() {
        mDraining = true;
        forEachConnection(CallerConnection::updateReading);
    }

    /** Stops accepting connections. Open connections stay open. */
    public void closeListener() {
        mListener.close().syncUninterruptibly();
    }

    /**
     * Refuses requests that arrive on open connections from now on. Such a late request might not
     * finish before the process ends.
     */
    public void refuseRequests() {
        mRefusing = true;
    }

    /** Refuses the requests in progress that no backend server has got yet. */
    public void withdrawRequests() {
        forEachConnection(CallerConnection::withdrawRequests);
    }

    /** Answers every request in progress with its currently known outcome. */
    public void abortRequests() {
        forEachConnection(CallerConnection::abortRequests);
    }

    /**
     * Closes every connection as soon as it has no request in progress. A request that was read
     * before its connection closes is still answered.
     */
    public void closeIdleConnections() {
        forEachConnection(CallerConnection::closeWhenIdle);
    }

    private void forEachConnection(Consumer<CallerConnection> action) {
        for (Channel connection : mConnections) {
            connection
                    .eventLoop()
                    .execute(
                            () ->
                                    Optional.ofNullable(
                                                    connection
                                                            .pipeline()
                                                            .get(CallerConnection.class))
                                            .ifPresent(action));
        }
    }

    /**
     * Counts the connections of callers.
     *
     * @return number of open connections
     */
    public int openConnections() {
        return mConnections.size();
    }

    /** Closes the listener and all connections. */
    public void close() {
        closeListener();
        mConnections.close().awaitUninterruptibly();
    }

    /** Returns the limit that all connections share. */
    OvertakingLimit overtakingLimit() {
        return mOvertakingLimit;
    }

    RequestPreparer preparer() {
        return mPreparer;
    }

    boolean isDraining() {
        return mDraining;
    }

    boolean isRefusing() {
        return mRefusing;
    }

    void requestStarted() {
        mActiveRequests.incrementAndGet();
    }

    void requestFinished() {
        mActiveRequests.decrementAndGet();
    }

    RequestId nextRequestId() {
        return new RequestId(
                mServices.localNode().name(),
                mServices.localNode().incarnation(),
                mLastSequence.incrementAndGet() * RequestId.MAXIMUM_ATTEMPTS);
    }
}
