package org.arbutuslock.testbed.fault;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * TCP relay in front of one target node that injects faults into the connections of other nodes to
 * it. Frames are recognized by their 4-byte length prefix. Thread safe.
 *
 * <pre>{@code
 * FaultRelay relay = FaultRelay.start(node, loops, seed);
 * relay.setFaults(RelayFaults.none().withHeld(RelayDirection.FROM_NODE));
 * relay.resetConnections();
 * }</pre>
 */
public final class FaultRelay implements AutoCloseable {
    /** How the relay handles one frame. */
    enum Effect {
        FORWARD,
        DUPLICATE,
        CUT
    }

    private final InetSocketAddress mTarget;
    private final SplittableRandom mRandom;
    private final Set<RelayConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final LongAdder mDuplicated = new LongAdder();
    private final LongAdder mCut = new LongAdder();
    private final Channel mListener;
    private volatile RelayFaults mFaults = RelayFaults.none();

    private FaultRelay(InetSocketAddress target, EventLoopGroup loops, long seed) {
        mTarget = target;
        mRandom = new SplittableRandom(seed);
        mListener = listen(loops);
    }

    /**
     * Starts a relay on a free port of the loopback address.
     *
     * @param target address of the target node
     * @param loops event loops of the connections; {@link #close} does not shut them down
     * @param seed seed of the random choice of duplicated and cut frames
     * @return the running relay
     */
    public static FaultRelay start(InetSocketAddress target, EventLoopGroup loops, long seed) {
        return new FaultRelay(target, loops, seed);
    }

    private Channel listen(EventLoopGroup loops) {
        return new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                accept(channel);
                            }
                        })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    private void accept(Channel channel) {
        RelayConnection connection = new RelayConnection(this, channel);
        mConnections.add(connection);
        connection.open(mTarget);
    }

    void remove(RelayConnection connection) {
        mConnections.remove(connection);
    }

    /**
     * Returns the address to which other nodes connect.
     *
     * @return loopback address and port
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(
                "127.0.0.1", ((InetSocketAddress) mListener.localAddress()).getPort());
    }

    /**
     * Replaces the faults of all connections. Frames that are no longer held back are forwarded,
     * even if their sender has closed the connection in the meantime.
     *
     * @param faults faults to apply from now on
     */
    public void setFaults(RelayFaults faults) {
        mFaults = faults;
        mConnections.forEach(RelayConnection::drain);
    }

    /** Resets all open connections. */
    public void resetConnections() {
        mConnections.forEach(RelayConnection::reset);
    }

    /**
     * Discards all further frames of the connections that are open now, without closing them. New
     * connections are not affected.
     */
    public void silenceConnections() {
        mConnections.forEach(RelayConnection::silence);
    }

    /**
     * Returns the number of frames that were forwarded twice.
     *
     * @return number of frames since the start of the relay
     */
    public long duplicatedFrames() {
        return mDuplicated.sum();
    }

    /**
     * Returns the number of frames in the middle of which the connection was reset.
     *
     * @return number of frames since the start of the relay
     */
    public long cutFrames() {
        return mCut.sum();
    }

    RelayFaults faults() {
        return mFaults;
    }

    Effect drawEffect() {
        RelayFaults faults = mFaults;
        if (faults.duplicateShare() + faults.cutShare() == 0) {
            return Effect.FORWARD;
        }
        double draw;
        synchronized (mRandom) {
            draw = mRandom.nextDouble();
        }
        if (draw < faults.duplicateShare()) {
            mDuplicated.increment();
            return Effect.DUPLICATE;
        }
        if (draw < faults.duplicateShare() + faults.cutShare()) {
            mCut.increment();
            return Effect.CUT;
        }
        return Effect.FORWARD;
    }

    /** Stops listening and resets all connections. */
    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        resetConnections();
    }
}
