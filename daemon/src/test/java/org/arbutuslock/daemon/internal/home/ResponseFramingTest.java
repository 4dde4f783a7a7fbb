package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.dialect.ResponseKind;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.HeaderAccessor;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against bytes of a faulty backend server that belong to no body and come without end: they
 * would be read until the deadline, since no caller's credit limits them.
 */
public class ResponseFramingTest {
    private static final int LIMIT = 1 << 20;
    private static final String LENGTH = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EXTRA = "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nbody";

    private BackendConnection mConnection;
    private EmbeddedChannel mChannel;

    @BeforeMethod
    public void open() {
        RequestDialect dialect = new ExtraResponseDialect();
        mConnection =
                new BackendConnection(
                        dialect, 1, new DroppedResponseLog(new ManualClock(), dialect));
        mChannel = new EmbeddedChannel(mConnection.handlers());
    }

    @AfterMethod
    public void close() {
        mChannel.finishAndReleaseAll();
    }

    @DataProvider
    public Object[][] endlessResponses() {
        String extension = "1;x=" + "y".repeat(4_000) + "\r\nx\r\n";
        String empty = "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n";
        String body = "x".repeat(16_384);
        String copy = "HTTP/1.1 201 Created\r\nContent-Length: 16384\r\n\r\n" + body;
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        String field = "y".repeat(1_000);
        return new Object[][] {
            {new EndlessBytes("copies of another response", "", EXTRA)},
            {new EndlessBytes("long copies", "", copy)},
            {new EndlessBytes("empty copies", "", empty)},
            {new EndlessBytes("chunk extensions", CHUNKED, extension)},
            {new EndlessBytes("one chunk extension", CHUNKED + "1;x=", field)},
            {new EndlessBytes("digits of a chunk size", CHUNKED, "0".repeat(1_000))},
            {new EndlessBytes("trailers", CHUNKED + "0\r\n", "X-Odd: 1\r\n")},
            {new EndlessBytes("one trailer", CHUNKED + "0\r\nX-Odd: ", field)},
            {new EndlessBytes("empty lines before a head", "", "\r\n")},
            {new EndlessBytes("empty lines behind an interim response", interim, "\r\n")},
            {new EndlessBytes("a status line", "HTTP/1.1 200 ", field)},
            {new EndlessBytes("header fields", "HTTP/1.1 200 OK\r\n", "a:b\r\n")},
            {new EndlessBytes("one header field", "HTTP/1.1 200 OK\r\na: ", field)},
            {new EndlessBytes("interim responses", "", interim)},
            {new EndlessBytes("long interim responses", "", interim.replace("a", field))},
            {new EndlessBytes("bytes without meaning", "", "\u0000\u0001 junk")},
        };
    }

    /** Guards against bytes that are read until the deadline although nobody gets them. */
    @Test(dataProvider = "endlessResponses")
    public void should_stop_reading_on_a_fresh_connection(EndlessBytes response) {
        requireEnd(response);
    }

    @Test(dataProvider = "endlessResponses")
    public void should_stop_reading_on_a_reused_connection(EndlessBytes response) {
        exchange(LENGTH);
        assertTrue(mConnection.isReusable());
        requireEnd(response);
    }

    /** Guards against a connection in the pool that is read without end. */
    @Test
    public void should_stop_reading_empty_lines_on_an_idle_connection() {
        exchange(LENGTH);
        requireClosed("idle", "\r\n");
        assertFalse(mConnection.isReusable());
    }

    private void requireEnd(EndlessBytes response) {
        List<BackendEvent> events = exchange(response.start());
        requireClosed(response.label(), response.rest());
        assertTrue(events.getLast() instanceof BackendEvent.Broken, response.label());
    }

    private void requireClosed(String label, String rest) {
        String part = rest.repeat(Math.max(1, 32 * 1024 / rest.length()));
        int read = 0;
        while (read < LIMIT && mChannel.isOpen()) {
            receive(part);
            read += part.length();
        }
        assertFalse(mChannel.isOpen(), label + ": " + read + " bytes were read");
    }

    @DataProvider
    public Object[][] impossibleLengths() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nx"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx"},
            {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nx"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
        };
    }

    /** Guards against memory that is taken, or a body that is awaited, for such a length. */
    @Test(dataProvider = "impossibleLengths")
    public void should_fail_at_a_length_that_cannot_be(String response) {
        List<BackendEvent> events = exchange(response);
        assertTrue(events.getLast() instanceof BackendEvent.Broken, events.toString());
        assertFalse(mChannel.isOpen());
    }

    /** Guards against memory that is taken in advance for a length that a head claims. */
    @Test
    public void should_pass_on_a_body_of_any_length_as_it_arrives() {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + Long.MAX_VALUE + "\r\n\r\n";
        List<BackendEvent> events = exchange(head + "x".repeat(100));
        assertEquals(bodyBytes(events), 100);
        assertTrue(mChannel.isOpen());
    }

    /** Guards against a sound server whose body comes in very small chunks. */
    @Test
    public void should_read_a_long_body_in_small_chunks() {
        List<BackendEvent> events = exchange(CHUNKED);
        for (int part = 0; part < 1_000; part++) {
            receive("1\r\nx\r\n".repeat(1_000));
        }
        receive("0\r\n\r\n");
        assertEquals(bodyBytes(events), 1_000_000);
        assertTrue(
                events.getLast() instanceof BackendEvent.Body(byte[] data, boolean last) && last);
    }

    private static int bodyBytes(List<BackendEvent> events) {
        int bytes = 0;
        for (BackendEvent event : events) {
            if (event instanceof BackendEvent.Body(byte[] data, boolean last)) {
                bytes += data.length;
            }
        }
        return bytes;
    }

    private List<BackendEvent> exchange(String response) {
        List<BackendEvent> events = new ArrayList<>();
        mConnection.send(NamedRequests.create("GET", ""), 1_000, events::add);
        mChannel.runPendingTasks();
        mChannel.releaseOutbound();
        receive(response);
        return events;
    }

    private void receive(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    /** Bytes of a faulty server: a start, and a rest that it repeats without end. */
    private record EndlessBytes(String label, String start, String rest) {
        @Override
        public String toString() {
            return label;
        }
    }

    /** Takes every response with status 201 for the response to another request. */
    private static final class ExtraResponseDialect extends NamedRequests.Dialect {
        @Override
        public ResponseKind classifyResponse(
                List<HeaderField> request,
                int status,
                HeaderAccessor response,
                boolean firstOnConnection) {
            return status == 201 ? ResponseKind.OTHER_REQUEST : ResponseKind.ANSWER;
        }
    }
}
