package org.arbutuslock.testbed.fault;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import org.arbutuslock.internal.messages.PeerMessageCodec;

/**
 * One relayed connection: the accepted channel, the channel to the target node and a pipe for each
 * direction. Its state is confined to the event loop of the accepted channel.
 */
final class RelayConnection {
    private final Channel mAccepted;
    private final RelayPipe mToNode;
    private final RelayPipe mFromNode;
    private final FaultRelay mRelay;
    private Channel mConnected;
    private int mOpenChannels;

    RelayConnection(FaultRelay relay, Channel accepted) {
        mRelay = relay;
        mAccepted = accepted;
        mToNode = new RelayPipe(relay, this, RelayDirection.TO_NODE);
        mFromNode = new RelayPipe(relay, this, RelayDirection.FROM_NODE);
    }

    /**
     * Connects to the target node. Until then the accepted channel is not read, and its frames wait
     * in the socket buffer.
     */
    void open(InetSocketAddress target) {
        mAccepted.config().setAutoRead(false);
        trackOpenChannel(mAccepted);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mAccepted.eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        install(channel, mFromNode);
                                    }
                                })
                        .connect(target);
        trackOpenChannel(connecting.channel());
        connecting.addListener(
                connected -> {
                    if (connected.isSuccess()) {
                        start(connecting.channel());
                    } else {
                        mAccepted.close();
                    }
                });
    }

    /** Counts an open channel. Removes this connection from the relay when both are closed. */
    private void trackOpenChannel(Channel channel) {
        mOpenChannels++;
        channel.closeFuture()
                .addListener(
                        closed -> {
                            mOpenChannels--;
                            if (mOpenChannels == 0) {
                                mToNode.discard();
                                mFromNode.discard();
                                mRelay.remove(this);
                            }
                        });
    }

    private void start(Channel connected) {
        mConnected = connected;
        mToNode.connect(mAccepted, connected);
        mFromNode.connect(connected, mAccepted);
        install(mAccepted, mToNode);
        if (!mAccepted.isActive()) {
            connected.close();
            return;
        }
        mAccepted.config().setAutoRead(true);
        connected.config().setAutoRead(true);
    }

    private static void install(Channel channel, RelayPipe pipe) {
        // Does not strip the length prefix, so that the frame is forwarded unchanged.
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                PeerMessageCodec.MAXIMUM_MESSAGE_BYTES, 0, Integer.BYTES, 0, 0))
                .addLast(pipe);
    }

    /** Resets both channels and discards the frames that wait in the pipes. Thread safe. */
    void reset() {
        mAccepted.eventLoop().execute(this::resetNow);
    }

    private void resetNow() {
        closeWithReset(mAccepted);
        if (mConnected != null) {
            closeWithReset(mConnected);
        }
        mToNode.discard();
        mFromNode.discard();
    }

    private static void closeWithReset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Discards all further frames in both directions. Both channels stay open. Thread safe. */
    void silence() {
        mAccepted
                .eventLoop()
                .execute(
                        () -> {
                            mToNode.silence();
                            mFromNode.silence();
                        });
    }

    /** Forwards the frames that are no longer held back. Thread safe. */
    void drain() {
        mAccepted
                .eventLoop()
                .execute(
                        () -> {
                            mToNode.drain();
                            mFromNode.drain();
                        });
    }
}
