package org.arbutuslock.testbed.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.PeerMessage;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/**
 * TCP relay in front of one node that simulates the network: it delays frames between nodes of
 * different regions and drops a share of the configuration messages.
 */
final class DelayingRelay implements AutoCloseable {
    private static final int FRAME_BYTES = PeerMessageCodec.MAXIMUM_MESSAGE_BYTES + Integer.BYTES;

    private final Channel mListener;
    private final String mRegion;
    private final InetSocketAddress mNode;
    private final Duration mDelay;
    private final SplittableRandom mRandom;
    private volatile double mLoss;

    DelayingRelay(
            EventLoopGroup eventLoops,
            InetSocketAddress address,
            InetSocketAddress node,
            String region,
            Duration delay,
            long seed) {
        mNode = node;
        mRegion = region;
        mDelay = delay;
        mRandom = new SplittableRandom(seed);
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
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
    }

    void setLoss(double loss) {
        mLoss = loss;
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
    }

    private void connect(Channel client) {
        ConnectionState state = new ConnectionState();
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel node) {
                                install(node, new Direction(state, client));
                            }
                        })
                .connect(mNode)
                .addListener(
                        (io.netty.channel.ChannelFuture connected) -> {
                            if (connected.isSuccess()) {
                                install(client, new Direction(state, connected.channel()));
                                client.config().setAutoRead(true);
                            } else {
                                client.close();
                            }
                        });
    }

    private static void install(Channel channel, ChannelHandler handler) {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                FRAME_BYTES, 0, Integer.BYTES, 0, Integer.BYTES));
        channel.pipeline().addLast(handler);
    }

    private synchronized boolean isLost() {
        return mLoss > 0 && mRandom.nextDouble() < mLoss;
    }

    /** State that both directions of one connection share. Only its event loop uses it. */
    private static final class ConnectionState {
        private boolean mDelayed;
    }

    /** Forwards frames from one side of a connection to the other. */
    private final class Direction extends SimpleChannelInboundHandler<ByteBuf> {
        private final ConnectionState mState;
        private final Channel mOther;

        Direction(ConnectionState state, Channel other) {
            mState = state;
            mOther = other;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame)
                throws MessageFormatException {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            switch (PeerMessageCodec.decode(bytes)) {
                case PeerMessage.Hello hello -> mState.mDelayed = !hello.region().equals(mRegion);
                case PeerMessage.ChannelMessage message -> {
                    if (message.channel() == PeerMessage.Channel.CONFIGURATION && isLost()) {
                        return;
                    }
                }
                default -> {}
            }
            ByteBuf copy = context.alloc().buffer(Integer.BYTES + bytes.length);
            copy.writeInt(bytes.length).writeBytes(bytes);
            if (mState.mDelayed) {
                runLater(context, () -> mOther.writeAndFlush(copy));
            } else {
                mOther.writeAndFlush(copy);
            }
        }

        /** Runs a task after the delay. All delays are equal, so that tasks keep their order. */
        private void runLater(ChannelHandlerContext context, Runnable task) {
            context.executor().schedule(task, mDelay.toNanos(), TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            runLater(context, mOther::close);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
