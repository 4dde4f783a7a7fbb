package org.arbutuslock.testbed.backend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.Clock;

/**
 * Simulated HTTP backend server that runs on one event loop. Faults can be switched while it runs.
 *
 * <pre>{@code
 * EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
 * try (BackendServer server = BackendServer.start(settings, Clock.system(), group)) {
 *     server.setFaults(BackendFaults.none().withHangShare(0.2));
 *     assertTrue(server.executions().executedMoreThanOnce().isEmpty());
 * }
 * }</pre>
 */
public final class BackendServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 1 << 20;
    private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;
    private static final long DRAIN_CHECK_MILLIS = 50;
    private static final long SELECT_DELAY_MILLIS = 10;
    private static final int BACKLOG = 1024;

    private final BackendState mState;
    private final EventLoop mLoop;
    private final ChannelGroup mConnections;
    private final Channel mListener;
    private final Optional<Announcer> mAnnouncer;

    private BackendServer(BackendSettings settings, Clock clock, EventLoop loop) {
        mState = new BackendState(settings, clock);
        mLoop = loop;
        mConnections = new DefaultChannelGroup(loop);
        mListener = listen(settings.port());
        mAnnouncer = settings.homeNode().map(home -> new Announcer(home, settings, port()));
        mAnnouncer.ifPresent(announcer -> announcer.start(loop));
    }

    /**
     * Starts a backend server.
     *
     * @param settings settings of the backend server
     * @param clock clock of the cold start and of flapping faults
     * @param group group that provides the event loop; the server does not shut it down
     * @return the running server
     */
    public static BackendServer start(BackendSettings settings, Clock clock, EventLoopGroup group) {
        return new BackendServer(settings, clock, group.next());
    }

    /**
     * Returns the bound port.
     *
     * @return TCP port on the loopback address
     */
    public int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    /**
     * Replaces all faults. Work that has already started keeps the faults it started with.
     *
     * @param faults new faults
     */
    public void setFaults(BackendFaults faults) {
        mState.setFaults(faults);
    }

    /**
     * Returns the record of executed requests.
     *
     * @return record that is updated while the server runs
     */
    public ExecutionRecord executions() {
        return mState.executions();
    }

    /**
     * Returns how many requests were cancelled because their connection closed.
     *
     * @return number of requests, including those that were still queued
     */
    public long cancelled() {
        return mState.cancelled();
    }

    /**
     * Returns how many requests were refused with status 503 because the queue was full.
     *
     * @return number of requests
     */
    public long shed() {
        return mState.shed();
    }

    /**
     * Shuts the server down gracefully. Sends the departure to the home node, then serves requests
     * until none has been active or queued for the quiet time, then closes. Each response during
     * this time closes its connection.
     *
     * @param quiet time without work after which the server closes
     * @param limit time after which the server closes even if work is left
     * @return future that completes after the close, with true when no work was left
     */
    public CompletableFuture<Boolean> drain(Duration quiet, Duration limit) {
        CompletableFuture<Boolean> drained = new CompletableFuture<>();
        CompletableFuture<?> departed =
                mAnnouncer
                        .<CompletableFuture<?>>map(Announcer::sendDeparture)
                        .orElseGet(() -> CompletableFuture.completedFuture(null));
        departed.thenRunAsync(
                () -> {
                    mState.startDraining();
                    long start = System.nanoTime();
                    closeWhenQuiet(quiet, start + limit.toNanos(), start, drained);
                },
                mLoop);
        return drained;
    }

    /** Closes all connections and cancels their work. Sends no departure to the home node. */
    @Override
    public void close() {
        mAnnouncer.ifPresent(Announcer::close);
        mListener.close().syncUninterruptibly();
        mConnections.close().awaitUninterruptibly();
    }

    private void closeWhenQuiet(
            Duration quiet, long limitNanos, long busyNanos, CompletableFuture<Boolean> drained) {
        long now = System.nanoTime();
        boolean idle = mState.queue().isIdle();
        long lastBusyNanos = idle ? busyNanos : now;
        if (now - lastBusyNanos >= quiet.toNanos() || now - limitNanos >= 0) {
            mAnnouncer.ifPresent(Announcer::close);
            mListener
                    .close()
                    .addListener(closed -> mConnections.close())
                    .addListener(closed -> completeAfterSelect(drained, idle));
            return;
        }
        mLoop.schedule(
                () -> closeWhenQuiet(quiet, limitNanos, lastBusyNanos, drained),
                DRAIN_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void completeAfterSelect(CompletableFuture<Boolean> drained, boolean idle) {
        // NIO closes the socket of a closed listener only at the next select. Until then the kernel
        // accepts connections. A scheduled task runs only after a select.
        mLoop.schedule(() -> drained.complete(idle), SELECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Channel listen(int port) {
        BackendControl control = new BackendControl(mState);
        return new ServerBootstrap()
                .group(mLoop, mLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                mConnections.add(channel);
                                HttpDecoderConfig decoder =
                                        new HttpDecoderConfig()
                                                .setMaxInitialLineLength(MAXIMUM_HEAD_BYTES)
                                                .setMaxHeaderSize(MAXIMUM_HEAD_BYTES);
                                channel.pipeline()
                                        .addLast(new HttpServerCodec(decoder))
                                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                        .addLast(new BackendHandler(mState, control));
                            }
                        })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .syncUninterruptibly()
                .channel();
    }
}
