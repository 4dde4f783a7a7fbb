package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.CallerBounds;
import org.arbutuslock.api.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against callers that occupy connections by sending a head slowly, and against configured
 * limits that are not applied.
 */
public class HeadTimeoutTest {
    private static final String HEAD = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n";

    private final HeadTimeout mTimeout = new HeadTimeout(Duration.ofSeconds(3));
    private EventLoopGroup mLoops;
    private CallerServer mServer;
    private EmbeddedChannel mChannel;

    @BeforeMethod
    public void setUp() {
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EntryServices services = EntryServicesFixture.create(new ManualClock());
        CallerLimits limits = new CallerLimits(8_192, Duration.ofSeconds(60), 10);
        mServer = new CallerServer(mLoops, new InetSocketAddress("127.0.0.1", 0), limits, services);
        mChannel =
                new EmbeddedChannel(
                        mTimeout,
                        new HttpServerCodec(),
                        mTimeout.observer(),
                        new CallerConnection(mServer, services, 1 << 20));
    }

    @AfterMethod
    public void tearDown() {
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_answer_408_when_a_head_takes_too_long() {
        mChannel.freezeTime();
        send(HEAD);
        advanceTime(10);
        assertTrue(mChannel.isActive(), "a connection without a request may wait");
        send(HEAD.substring(0, 20));
        advanceTime(2);
        send(HEAD.substring(20, 25));
        assertTrue(mChannel.isActive());
        advanceTime(1);
        ByteBuf response = mChannel.readOutbound();
        assertTrue(response.toString(StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 408"));
        response.release();
        assertFalse(mChannel.isActive());
        mChannel.finishAndReleaseAll();
    }

    @Test
    public void should_not_limit_the_time_of_a_body() {
        HeadTimeout timeout = new HeadTimeout(Duration.ofSeconds(3));
        EmbeddedChannel channel =
                new EmbeddedChannel(timeout, new HttpServerCodec(), timeout.observer());
        channel.freezeTime();
        String head = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx";
        channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
        channel.advanceTimeBy(10, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertTrue(channel.isActive());
        channel.finishAndReleaseAll();
    }

    @Test
    public void should_restrict_limits_to_the_configuration() {
        CallerLimits settings = new CallerLimits(16_384, Duration.ofSeconds(120), 10);
        CallerBounds bounds =
                new CallerBounds(8_192, 1_000, Duration.ofSeconds(3), Duration.ofSeconds(15));
        CallerLimits inForce = settings.restrictedTo(Optional.of(bounds));
        assertEquals(
                inForce,
                new CallerLimits(8_192, 1_000, Duration.ofSeconds(3), Duration.ofSeconds(17), 10));
        assertEquals(settings.restrictedTo(Optional.empty()), settings);
    }

    private void send(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private void advanceTime(int seconds) {
        mChannel.advanceTimeBy(seconds, TimeUnit.SECONDS);
        mChannel.runScheduledPendingTasks();
    }
}
