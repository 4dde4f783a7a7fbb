package org.arbutuslock.daemon.internal.callers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.arbutuslock.api.ManualClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against serving requests that RFC 9112 forbids, and refusing requests that it allows. */
public class CallerHttpTest {
    private static final int MAXIMUM_HEADER_BYTES = 1_024;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d+)");

    private final ManualClock mClock = new ManualClock();
    private EventLoopGroup mLoops;
    private CallerServer mServer;
    private final StringBuilder mWritten = new StringBuilder();
    private EmbeddedChannel mChannel;

    @BeforeMethod
    public void setUp() {
        mWritten.setLength(0);
        mLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EntryServices services = EntryServicesFixture.create(mClock);
        mServer =
                new CallerServer(
                        mLoops,
                        new InetSocketAddress("127.0.0.1", 0),
                        new CallerLimits(MAXIMUM_HEADER_BYTES, Duration.ofSeconds(60), 10),
                        services);
        CallerConnection connection = new CallerConnection(mServer, services, 1 << 20);
        mChannel =
                new EmbeddedChannel(
                        new WriteRecorder(),
                        new HttpServerCodec(
                                new HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES)),
                        new RequestAggregator(1 << 20, connection::hasRequests),
                        connection);
        mChannel.freezeTime();
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

    /** Guards against a target whose bytes reach the backend server doubled. */
    @Test
    public void should_refuse_a_target_with_bytes_that_are_not_escaped() {
        String request = "GET /x/\u00e9 HTTP/1.1\r\nHost: a.example\r\n\r\n";
        assertEquals(send(request), "HTTP/1.1 400 Bad Request");
    }

    @Test
    public void should_route_a_target_in_absolute_form_by_its_own_host() {
        assertNull(send("GET http://a.example/x/1 HTTP/1.1\r\nHost: b.example\r\n\r\n"));
    }

    @Test
    public void should_answer_431_when_a_head_is_too_large() {
        String field = "X-Large: " + "x".repeat(2 * MAXIMUM_HEADER_BYTES) + "\r\n";
        assertEquals(
                send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n" + field + "\r\n"),
                "HTTP/1.1 431 Request Header Fields Too Large");
    }

    @Test
    public void should_answer_404_for_a_path_without_a_route() {
        assertEquals(
                send("GET /y/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"), "HTTP/1.1 404 Not Found");
    }

    @Test
    public void should_answer_malformed_requests_behind_good_ones_in_their_turn() {
        // The first request waits for endpoints, because the node has just started.
        assertNull(send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        assertNull(send("GET /x/2 HTTP/1.1\r\nbad header\r\n\r\n"));
        assertNull(send("GET /x/3 HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        mClock.advance(Duration.ofSeconds(3));
        mChannel.advanceTimeBy(3, TimeUnit.SECONDS);
        assertEquals(readAll(), List.of(503, 400));
        assertFalse(mChannel.isActive());
    }

    @Test
    public void should_answer_413_behind_a_good_request_in_its_turn() {
        assertNull(send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        String head = "POST /x/2 HTTP/1.1\r\nHost: a.example\r\n";
        assertNull(send(head + "Content-Length: 2000000\r\n\r\n"));
        mClock.advance(Duration.ofSeconds(3));
        mChannel.advanceTimeBy(3, TimeUnit.SECONDS);
        assertEquals(readAll(), List.of(503, 413));
    }

    @Test
    public void should_not_send_an_interim_response_before_an_earlier_response() {
        assertNull(send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        String head = "POST /x/2 HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\n";
        assertNull(send(head + "Content-Length: 2\r\n\r\n"));
    }

    /**
     * Guards against a body without its request: an interim response must not shift the methods.
     */
    @Test
    public void should_send_a_body_to_post_and_none_to_head_after_an_interim_response() {
        String post = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\n";
        assertEquals(send(post + "Content-Length: 2\r\n\r\n"), "HTTP/1.1 100 Continue");
        assertNull(send("abHEAD /x/2 HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        mClock.advance(Duration.ofSeconds(3));
        mChannel.advanceTimeBy(3, TimeUnit.SECONDS);
        assertEquals(readAll(), List.of(100, 503, 503));
        String[] responses = mWritten.toString().split("HTTP/1.1 ");
        assertFalse(responses[2].endsWith("\r\n\r\n"), mWritten.toString());
        assertTrue(responses[3].endsWith("\r\n\r\n"), mWritten.toString());
    }

    @Test
    public void should_count_the_deadline_from_the_arrival_of_a_request() {
        assertNull(send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        mChannel.advanceTimeBy(1_019, TimeUnit.MILLISECONDS);
        mClock.advance(Duration.ofMillis(1_019));
        mChannel.runScheduledPendingTasks();
        assertNull(send("GET /x/2 HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        mChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertEquals(readAll(), List.of(503));
    }

    /** Reads the status codes of all responses that were written. */
    private List<Integer> readAll() {
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
        return STATUS_LINE
                .matcher(mWritten)
                .results()
                .map(result -> Integer.parseInt(result.group(1)))
                .toList();
    }

    /** Sends a request; returns the status line of the response, or null if there is none yet. */
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

    /** Copies all bytes that are written to the connection. */
    private final class WriteRecorder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mWritten.append(((ByteBuf) message).toString(StandardCharsets.ISO_8859_1));
            context.write(message, promise);
        }
    }
}
