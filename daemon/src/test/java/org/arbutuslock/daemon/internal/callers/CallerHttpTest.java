package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.daemon.internal.dialect.OwnDialect;
import org.arbutuslock.daemon.internal.sessions.LocalNode;
import org.arbutuslock.internal.configuration.Configuration;
import org.arbutuslock.internal.configuration.ConfigurationHolder;
import org.arbutuslock.internal.membership.FleetSnapshot;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that RFC 9112 forbids being served, and allowed ones being refused. */
public class CallerHttpTest {
    private static final int MAXIMUM_HEADER_BYTES = 1_024;

    private EventLoopGroup mLoops;
    private CallerServer mServer;
    private EmbeddedChannel mChannel;

    @BeforeMethod
    public void setUp() {
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ManualClock clock = new ManualClock();
        ConfigurationHolder configuration = new ConfigurationHolder();
        configuration.apply(Configuration.of(3, List.of(), List.of(route())));
        LocalNode local = new LocalNode("node", 1, "region", "zone", "127.0.0.1:1");
        EntryServices services =
                new EntryServices(
                        local,
                        clock,
                        clock.nanoTime(),
                        configuration,
                        new NoEndpoints(),
                        () -> FleetSnapshot.EMPTY,
                        null,
                        new NoRetries(),
                        (route, tenant, latency, result) -> {},
                        new OwnDialect());
        mServer =
                new CallerServer(
                        mLoops,
                        new InetSocketAddress("127.0.0.1", 0),
                        new CallerLimits(MAXIMUM_HEADER_BYTES, Duration.ofSeconds(60), 10),
                        services);
        mChannel =
                new EmbeddedChannel(
                        new HttpServerCodec(
                                new HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES)),
                        new HttpObjectAggregator(1 << 20),
                        new CallerConnection(mServer, services));
    }

    @AfterMethod
    public void tearDown() {
        mChannel.finishAndReleaseAll();
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    public void should_refuse_a_request_without_a_host() {
        assertEquals(send("GET /x/1 HTTP/1.1\r\n\r\n"), "HTTP/1.1 400 Bad Request");
    }

    @Test
    public void should_refuse_a_request_with_two_hosts() {
        String request = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n";
        assertEquals(send(request), "HTTP/1.1 400 Bad Request");
    }

    @Test
    public void should_route_a_target_in_absolute_form_by_its_own_host() {
        assertNull(send("GET http://a.example/x/1 HTTP/1.1\r\nHost: b.example\r\n\r\n"));
    }

    @Test
    public void should_tell_that_a_head_is_too_large() {
        String field = "X-Large: " + "x".repeat(2 * MAXIMUM_HEADER_BYTES) + "\r\n";
        assertEquals(
                send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n" + field + "\r\n"),
                "HTTP/1.1 431 Request Header Fields Too Large");
    }

    @Test
    public void should_answer_404_for_a_path_that_no_route_has() {
        assertEquals(
                send("GET /y/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"), "HTTP/1.1 404 Not Found");
    }

    /** Returns the first line of the response, or null while there is none. */
    private String send(String request) {
        mChannel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
        ByteBuf response = mChannel.readOutbound();
        if (response == null) {
            return null;
        }
        String text = response.toString(StandardCharsets.ISO_8859_1);
        response.release();
        return text.substring(0, text.indexOf("\r\n"));
    }

    private static RouteDefinition route() {
        return new RouteDefinition(
                "route",
                "a.example",
                "",
                "/x",
                true,
                Map.of(),
                "service",
                WorkClass.SHORT,
                true,
                1_000,
                5);
    }

    private static final class NoEndpoints extends PlainChooser {
        @Override
        public Optional<FleetSnapshot.Member> choose(
                RouteDefinition route, boolean idempotent, Set<EndpointId> tried) {
            return Optional.empty();
        }
    }

    private static final class NoRetries implements RetryPolicy {
        @Override
        public void recordFirstAttempt(String service) {}

        @Override
        public boolean tryRetry(String service) {
            return false;
        }
    }
}
