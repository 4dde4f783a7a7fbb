package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a shutdown that closes a connection while a response is unwritten, because the
 * caller reads slowly.
 */
public class CallerConnectionTest {
    private final EntryServices mServices = EntryServicesFixture.create(new ManualClock());
    private EventLoopGroup mLoops;
    private CallerServer mServer;

    @BeforeMethod
    public void setUp() {
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mServer =
                new CallerServer(
                        mLoops,
                        new InetSocketAddress("127.0.0.1", 0),
                        new CallerLimits(8_192, Duration.ofSeconds(60), 10),
                        mServices);
    }

    @AfterMethod
    public void tearDown() {
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_count_a_request_until_its_response_is_written() {
        PendingLastWrite pending = new PendingLastWrite();
        EmbeddedChannel channel = new EmbeddedChannel(pending, newConnection());
        channel.writeInbound(
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/.arbutuslock/requests/x"));
        channel.runPendingTasks();
        assertEquals(mServer.activeRequests(), 1);
        pending.mLastWrite.setSuccess();
        channel.runPendingTasks();
        assertEquals(mServer.activeRequests(), 0);
    }

    @Test
    public void should_answer_a_request_that_was_read_before_its_connection_closes() {
        PendingWrites pending = new PendingWrites();
        CallerConnection connection = newConnection();
        EmbeddedChannel busy = new EmbeddedChannel(pending, connection);
        busy.writeInbound(
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/.arbutuslock/requests/x"));
        connection.closeWhenIdle();
        assertTrue(busy.isActive());
        pending.mWrites.forEach(ChannelPromise::setSuccess);
        busy.runPendingTasks();
        assertFalse(busy.isActive());
        CallerConnection idleConnection = newConnection();
        EmbeddedChannel idle = new EmbeddedChannel(idleConnection);
        idleConnection.closeWhenIdle();
        assertFalse(idle.isActive());
    }

    @Test
    public void should_refuse_a_request_that_arrives_after_the_notice_period_of_a_shutdown() {
        EmbeddedChannel channel = new EmbeddedChannel(newConnection());
        mServer.startDraining();
        mServer.refuseRequests();
        DefaultFullHttpRequest late =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/late");
        late.headers().set(HttpHeaderNames.HOST, "a.example");
        channel.writeInbound(late);
        channel.runPendingTasks();
        FullHttpResponse response = channel.readOutbound();
        assertEquals(response.status().code(), 503);
        assertEquals(response.headers().get(HttpHeaderNames.CONNECTION), "close");
        response.release();
        assertFalse(channel.isActive());
    }

    private CallerConnection newConnection() {
        return new CallerConnection(mServer, mServices, 1 << 20);
    }

    /** Collects the promises of all writes, as with a caller that reads late. */
    private static final class PendingWrites extends ChannelOutboundHandlerAdapter {
        private final List<ChannelPromise> mWrites = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mWrites.add(promise);
        }
    }

    /** Holds the promise of the last write, as with a caller that does not read. */
    private static final class PendingLastWrite extends ChannelOutboundHandlerAdapter {
        private ChannelPromise mLastWrite;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mLastWrite = promise;
        }
    }
}
