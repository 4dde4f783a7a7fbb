package org.arbutuslock.testbed.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.testbed.fleet.FreePorts;

/** TCP relay in front of the store that delays all bytes to and from nodes of the other region. */
final class StoreDelay implements AutoCloseable {
    private final InetSocketAddress mAddress = FreePorts.next();
    private final InetSocketAddress mStore;
    private final Duration mDelay;
    private final Channel mListener;

    StoreDelay(EventLoopGroup eventLoops, InetSocketAddress store, Duration delay) {
        mStore = store;
        mDelay = delay;
        mListener =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        connect(channel);
                                    }
                                })
                        .bind(mAddress)
                        .syncUninterruptibly()
                        .channel();
    }

    InetSocketAddress address() {
        return mAddress;
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
    }

    private void connect(Channel client) {
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Direction(client))
                .connect(mStore)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                client.pipeline().addLast(new Direction(connected.channel()));
                                client.config().setAutoRead(true);
                            } else {
                                client.close();
                            }
                        });
    }

    /** Forwards bytes from one side of a connection to the other after the delay, in order. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final Channel mOther;

        Direction(Channel other) {
            mOther = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            runLater(context, () -> mOther.writeAndFlush(bytes));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            runLater(context, mOther::close);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void runLater(ChannelHandlerContext context, Runnable task) {
            context.executor().schedule(task, mDelay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }
}
