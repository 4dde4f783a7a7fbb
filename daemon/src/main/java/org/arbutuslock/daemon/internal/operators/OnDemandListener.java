package org.arbutuslock.daemon.internal.operators;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.arbutuslock.api.Result;
import org.arbutuslock.daemon.internal.eventloops.Listeners;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;

/**
 * Listens for operators and starts the gRPC server at the first connection. Starting it with the
 * node would cost more processor time and memory than all other parts of the node. Each connection
 * is forwarded to the server's port on the loopback address.
 */
final class OnDemandListener {
    private static final EventLogger LOGGER = EventLogger.forComponent("operators");

    private final EventLoopGroup mEventLoops;
    private final Function<InetSocketAddress, Result<OperatorsServer>> mStarter;
    private final AtomicReference<CompletableFuture<Result<OperatorsServer>>> mServer =
            new AtomicReference<>();
    private final Channel mListener;

    /**
     * Starts to listen.
     *
     * @param eventLoops event loops that run the connections
     * @param address address to listen on
     * @param starter starts the server at an address; blocks, so it runs on a thread of its own
     */
    OnDemandListener(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            Function<InetSocketAddress, Result<OperatorsServer>> starter) {
        mEventLoops = eventLoops;
        mStarter = starter;
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel accepted) {
                                        forward(accepted);
                                    }
                                });
        mListener = Listeners.bind(bootstrap, address);
    }

    /** Returns the bound address; its port is not 0. */
    InetSocketAddress address() {
        return (InetSocketAddress) mListener.localAddress();
    }

    /** Returns the server, or empty until it has started. */
    Optional<OperatorsServer> server() {
        CompletableFuture<Result<OperatorsServer>> server = mServer.get();
        boolean started = server != null && server.isDone();
        return started && server.join() instanceof Result.Success<OperatorsServer>(var running)
                ? Optional.of(running)
                : Optional.empty();
    }

    /** Stops accepting connections; blocks until the port is closed. */
    void close() {
        mListener.close().syncUninterruptibly();
    }

    private void forward(Channel accepted) {
        startServerOnce()
                .thenAccept(
                        result -> {
                            switch (result) {
                                case Result.Success<OperatorsServer>(OperatorsServer server) ->
                                        connect(accepted, server.port());
                                case Result.Failed<OperatorsServer>(var failure) -> {
                                    LOGGER.log(Event.OPERATORS_START_FAILED, failure);
                                    // The next connection starts the server again.
                                    mServer.set(null);
                                    accepted.close();
                                }
                            }
                        });
    }

    private CompletableFuture<Result<OperatorsServer>> startServerOnce() {
        CompletableFuture<Result<OperatorsServer>> created = new CompletableFuture<>();
        CompletableFuture<Result<OperatorsServer>> existing =
                mServer.compareAndExchange(null, created);
        if (existing != null) {
            return existing;
        }
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Thread.ofPlatform()
                .daemon()
                .name("operators-start")
                .start(() -> created.complete(mStarter.apply(anyPort)));
        return created;
    }

    private void connect(Channel accepted, int port) {
        new Bootstrap()
                .group(accepted.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Relay(accepted))
                .connect(InetAddress.getLoopbackAddress(), port)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                accepted.pipeline().addLast(new Relay(connected.channel()));
                                accepted.read();
                                connected.channel().read();
                            } else {
                                accepted.close();
                            }
                        });
    }

    /** Forwards bytes to another channel; reads further bytes only after these were written. */
    private static final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel mTarget;

        private Relay(Channel target) {
            mTarget = target;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mTarget.writeAndFlush(message)
                    .addListener(
                            (ChannelFuture written) -> {
                                if (written.isSuccess()) {
                                    context.channel().read();
                                } else {
                                    context.close();
                                }
                            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mTarget.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.log(
                    Event.SMALL_HTTP_FAILED,
                    "operators",
                    context.channel().remoteAddress(),
                    cause.getMessage());
            context.close();
        }
    }
}
