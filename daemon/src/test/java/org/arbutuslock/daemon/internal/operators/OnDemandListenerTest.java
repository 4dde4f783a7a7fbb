package org.arbutuslock.daemon.internal.operators;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutuslock.v1.OperatorsGrpc;
import org.arbutuslock.v1.TopRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a server that starts before the first connection or more than once, and against
 * calls that fail because the server was not running when they arrived.
 */
public class OnDemandListenerTest {
    private final AtomicInteger mStarts = new AtomicInteger();
    private EventLoopGroup mLoops;
    private OnDemandListener mListener;
    private ManagedChannel mChannel;

    @BeforeMethod
    public void start() {
        mStarts.set(0);
        mLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        mListener =
                new OnDemandListener(
                        mLoops,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        address -> {
                            mStarts.incrementAndGet();
                            return OperatorsServer.start(
                                    address, Optional.empty(), new FakeBackend());
                        });
        mChannel =
                NettyChannelBuilder.forAddress("127.0.0.1", mListener.address().getPort())
                        .usePlaintext()
                        .build();
    }

    @AfterMethod
    public void stop() {
        mChannel.shutdownNow();
        mListener.close();
        mListener.server().ifPresent(server -> server.stop(Duration.ofMillis(100)));
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_start_the_service_at_the_first_connection_only() {
        assertFalse(mListener.server().isPresent());
        for (int call = 0; call < 3; call++) {
            call();
        }
        assertTrue(mListener.server().isPresent());
        assertEquals(mStarts.get(), 1);
    }

    private void call() {
        OperatorsGrpc.newBlockingStub(mChannel)
                .withDeadlineAfter(20, TimeUnit.SECONDS)
                .top(TopRequest.getDefaultInstance());
    }
}
