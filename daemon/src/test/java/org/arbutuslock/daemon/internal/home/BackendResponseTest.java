package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.dialect.ResponseKind;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.HeaderAccessor;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against bytes of a faulty backend server that become the response to a request: copies of
 * earlier responses, responses that end early, and bytes without end.
 */
public class BackendResponseTest {
    private static final String LENGTH =
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Seal: 1\r\n\r\nbody";
    private static final String CHUNKS =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
    private static final String EMPTY = "HTTP/1.1 204 No Content\r\nX-Seal: 1\r\n\r\n";
    private static final String UNMODIFIED = "HTTP/1.1 304 Not Modified\r\nX-Seal: 1\r\n\r\n";
    private static final String HINTS = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nX-Seal: 1\r\n\r\n";
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private ScriptedDialect mDialect;
    private BackendConnection mConnection;
    private EmbeddedChannel mChannel;

    @BeforeMethod
    public void open() {
        mDialect = new ScriptedDialect();
        mConnection =
                new BackendConnection(
                        mDialect, 1, new DroppedResponseLog(new ManualClock(), mDialect));
        mChannel = new EmbeddedChannel(mConnection.handlers());
    }

    @AfterMethod
    public void close() {
        mChannel.finishAndReleaseAll();
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"GET", LENGTH, true},
            {"GET", CHUNKS, true},
            {"GET", EMPTY, true},
            {"GET", UNMODIFIED, true},
            {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true},
            {"GET", CONTINUE + LENGTH, true},
            {"POST", HINTS + CONTINUE + CHUNKS, true},
            {"GET", HINTS + EMPTY, true},
            {"GET", UNFRAMED, false},
            {"GET", HINTS + UNFRAMED, false},
        };
    }

    /** Ends an answer behind each of its bytes, on a fresh and on a kept connection. */
    @Test(dataProvider = "answers")
    public void should_report_an_answer_as_whole_only_when_it_is(
            String method, String answer, boolean framed) {
        for (int length = 0; length <= answer.length(); length++) {
            for (boolean kept : new boolean[] {false, true}) {
                for (boolean reset : new boolean[] {false, true}) {
                    boolean whole = length == answer.length() && (framed || !reset);
                    requireOutcome(method, answer.substring(0, length), kept, reset, whole);
                }
            }
        }
    }

    private void requireOutcome(
            String method, String bytes, boolean kept, boolean reset, boolean whole) {
        open();
        if (kept) {
            exchange("GET", "first", LENGTH);
        }
        List<BackendEvent> events = exchange(method, "second", bytes);
        if (reset) {
            mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        }
        mChannel.close();
        String label = bytes + ", kept " + kept + ", reset " + reset;
        assertEquals(events.stream().filter(this::isEnd).count(), 1, label);
        boolean complete = events.getLast() instanceof BackendEvent.Body;
        assertEquals(complete, whole, label);
        if (whole) {
            BackendEvent.Head head = (BackendEvent.Head) events.getFirst();
            assertTrue(head.status() >= 200 && head.status() < 400, label);
        }
        mChannel.finishAndReleaseAll();
    }

    private boolean isEnd(BackendEvent event) {
        return !(event instanceof BackendEvent.Head)
                && !(event instanceof BackendEvent.Body(byte[] data, boolean last) && !last);
    }

    @Test
    public void should_not_answer_with_an_interim_response() {
        List<BackendEvent> events = exchange("GET", "first", HINTS);
        assertEquals(events, List.of());
        mChannel.writeInbound(Unpooled.copiedBuffer(LENGTH, StandardCharsets.US_ASCII));
        assertEquals(((BackendEvent.Head) events.getFirst()).status(), 200);
        assertTrue(mConnection.isReusable());
    }

    @Test
    public void should_fail_after_many_interim_responses() {
        List<BackendEvent> events = exchange("GET", "first", CONTINUE.repeat(1_000));
        assertEquals(events.size(), 1);
        assertTrue(events.getFirst() instanceof BackendEvent.Broken);
        assertFalse(mChannel.isOpen());
    }

    @DataProvider
    public Object[][] statusLines() {
        return new Object[][] {{"HTTP/1.1 20 OK"}, {"HTTP/1.1 2000 OK"}, {"HTTP/1.1 101 Switch"}};
    }

    /** Guards against a status that no other node and no caller can read. */
    @Test(dataProvider = "statusLines")
    public void should_fail_at_a_status_that_ends_no_request(String statusLine) {
        List<BackendEvent> events =
                exchange("GET", "first", statusLine + "\r\nContent-Length: 0\r\n\r\n");
        assertEquals(events.size(), 1);
        assertTrue(events.getFirst() instanceof BackendEvent.Broken);
    }

    @DataProvider
    public Object[][] bodies() {
        return new Object[][] {
            {"Content-Length: 4\r\n\r\nbody"},
            {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
        };
    }

    /** Guards against a response that loses its body, with which it would pass as whole. */
    @Test(dataProvider = "bodies")
    public void should_fail_at_a_body_that_the_codec_does_not_read(String body) {
        List<BackendEvent> events = exchange("GET", "first", "HTTP/1.1 205 Reset\r\n" + body);
        assertEquals(events.size(), 1);
        assertTrue(events.getFirst() instanceof BackendEvent.Broken);
        open();
        events = exchange("GET", "first", "HTTP/1.1 205 Reset\r\nContent-Length: 0\r\n\r\n");
        assertEquals(((BackendEvent.Head) events.getFirst()).status(), 205);
        assertTrue(events.getLast() instanceof BackendEvent.Body);
    }

    /** Guards against a response without the field by which callers recognize its body. */
    @Test
    public void should_pass_on_a_seal_that_the_connection_field_names() {
        String fields = "Connection: X-Seal, X-Other\r\nX-Other: 1\r\n";
        List<BackendEvent> events =
                exchange("GET", "first", LENGTH.replace("X-Seal", fields + "X-Seal"));
        List<HeaderField> received = ((BackendEvent.Head) events.getFirst()).headers();
        assertEquals(HeaderField.find(received, "x-seal"), "1");
        assertNull(HeaderField.find(received, "x-other"));
    }

    @Test
    public void should_tell_whether_the_position_of_a_response_identifies_it() {
        exchange("GET", "first", LENGTH);
        exchange("GET", "second", LENGTH);
        assertEquals(mDialect.mPositions, List.of(true, false));
    }

    @Test
    public void should_not_identify_a_response_by_its_position_behind_an_extra_one() {
        mDialect.mKinds.add(ResponseKind.OTHER_REQUEST);
        List<BackendEvent> events = exchange("GET", "first", REFUSAL + LENGTH);
        assertEquals(mDialect.mPositions, List.of(true, false));
        assertEquals(((BackendEvent.Head) events.getFirst()).status(), 200);
        assertFalse(mConnection.isReusable(), "more copies may follow");
    }

    @Test
    public void should_fail_the_request_at_a_response_that_is_not_identified() {
        exchange("GET", "first", LENGTH);
        mDialect.mKinds.add(ResponseKind.UNIDENTIFIED);
        List<BackendEvent> events = exchange("POST", "second", REFUSAL);
        assertEquals(events.size(), 1);
        assertTrue(events.getFirst() instanceof BackendEvent.Broken);
        assertFalse(mChannel.isOpen());
    }

    @Test
    public void should_not_carry_a_request_again_that_was_refused_on_the_connection() {
        mDialect.mKinds.add(ResponseKind.NOT_EXECUTED);
        List<BackendEvent> events = exchange("POST", "first", REFUSAL);
        assertEquals(events, List.of(new BackendEvent.NotExecuted(false)));
        assertTrue(mConnection.isReusable());
        assertFalse(mConnection.isUnambiguousFor(NamedRequests.create("POST", "first")));
        assertTrue(mConnection.isUnambiguousFor(NamedRequests.create("POST", "second")));
    }

    @DataProvider
    public Object[][] firstResponses() {
        return new Object[][] {
            {LENGTH},
            {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nbody"},
            {CHUNKS},
            {EMPTY},
        };
    }

    /** Guards against a late copy of one response that is taken for the response to the next. */
    @Test(dataProvider = "firstResponses")
    public void should_not_carry_a_request_again_that_was_sent_on_the_connection(String response) {
        exchange("GET", "first", response);
        assertTrue(mConnection.isReusable());
        assertFalse(mConnection.isUnambiguousFor(NamedRequests.create("GET", "first")));
        assertTrue(mConnection.isUnambiguousFor(NamedRequests.create("GET", "second")));
    }

    @DataProvider
    public Object[][] copies() {
        String fields = "Date: today\r\nX-Name: first\r\nX-Seal: 1\r\nContent-Length: 4\r\n\r\n";
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\n" + fields + "body"},
            {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields},
        };
    }

    /** Guards against the status of a copy that breaks off, with the rest of the next response. */
    @Test(dataProvider = "copies")
    public void should_not_join_a_copy_that_breaks_off_with_the_next_response(String copy) {
        String next = "HTTP/1.1 500 Failed\r\nX-Name: second\r\nContent-Length: 4\r\n\r\nfail";
        for (int length = 1; length < copy.length(); length++) {
            for (boolean kept : new boolean[] {false, true}) {
                open();
                if (kept) {
                    exchange("GET", "first", LENGTH);
                }
                mDialect.mNamed = true;
                List<BackendEvent> events =
                        exchange("GET", "second", copy.substring(0, length) + next);
                mChannel.close();
                String label = "kept " + kept + ", cut behind " + copy.substring(0, length);
                events.stream()
                        .filter(event -> event instanceof BackendEvent.Head)
                        .forEach(
                                head ->
                                        assertEquals(
                                                ((BackendEvent.Head) head).status(), 500, label));
                assertEquals(events.stream().filter(this::isEnd).count(), 1, label);
                mChannel.finishAndReleaseAll();
            }
        }
    }

    /** Guards against the late copy of a response that was read as the body of another copy. */
    @Test
    public void should_not_answer_with_a_copy_of_a_response_that_another_copy_swallowed() {
        String answer = "HTTP/1.1 500 Failed\r\nX-Name: second\r\nContent-Length: 4\r\n\r\nfail";
        String ownCopy = "HTTP/1.1 200 OK\r\nX-Name: second\r\nContent-Length: 4\r\n\r\nbody";
        for (int sent = 0; sent < 20; sent++) {
            int length = sent + answer.length();
            String extra =
                    "HTTP/1.1 200 OK\r\nX-Name: first\r\nContent-Length: "
                            + length
                            + "\r\n\r\n"
                            + "x".repeat(sent);
            for (int part = 0; part <= answer.length(); part++) {
                open();
                exchange("GET", "first", LENGTH);
                mDialect.mNamed = true;
                List<BackendEvent> events =
                        exchange("GET", "second", extra + answer.substring(0, part));
                receive(answer.substring(part));
                receive(ownCopy);
                mChannel.close();
                assertEquals(events.size(), 1, "part of " + part + " bytes: " + events);
                assertTrue(events.getFirst() instanceof BackendEvent.Broken);
                mChannel.finishAndReleaseAll();
            }
        }
    }

    /** Guards against a copy in chunks whose trailer takes up the next response. */
    @Test
    public void should_not_answer_with_a_copy_of_a_response_that_a_trailer_swallowed() {
        String extra =
                "HTTP/1.1 200 OK\r\nX-Name: first\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nbo\r\n0\r\nX-Odd: 1\r\n";
        String answer = "HTTP/1.1 500 Failed\r\nX-Name: second\r\nContent-Length: 0\r\n\r\n";
        String ownCopy = "HTTP/1.1 200 OK\r\nX-Name: second\r\nContent-Length: 0\r\n\r\n";
        for (int length = extra.indexOf("chunked") + 11; length <= extra.length(); length++) {
            open();
            exchange("GET", "first", LENGTH);
            mDialect.mNamed = true;
            List<BackendEvent> events =
                    exchange("GET", "second", extra.substring(0, length) + answer);
            receive(ownCopy);
            mChannel.close();
            String label = "cut behind " + extra.substring(0, length) + ": " + events;
            assertFalse(
                    events.stream().anyMatch(event -> event instanceof BackendEvent.Head), label);
            mChannel.finishAndReleaseAll();
        }
    }

    private void receive(String bytes) {
        if (mChannel.isOpen() && !bytes.isEmpty()) {
            mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        }
    }

    /** Guards against a response that fails because a field quotes a protocol version. */
    @Test
    public void should_read_a_head_whose_fields_name_a_protocol_version() {
        String quoting =
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nUpgrade: HTTP/2.0\r\n"
                        + "Content-Length: 4\r\n\r\nbody";
        List<BackendEvent> events = exchange("GET", "first", quoting);
        assertEquals(((BackendEvent.Head) events.getFirst()).status(), 200);
        assertTrue(events.getLast() instanceof BackendEvent.Body);
    }

    @Test
    public void should_not_remember_sent_requests_without_end() {
        int requests = 0;
        do {
            exchange("GET", "request-" + requests++, LENGTH);
        } while (mConnection.isReusable() && requests < 10_000);
        assertEquals(requests, 1_024);
    }

    @Test
    public void should_stop_reading_a_refusal_without_end() {
        mDialect.mKinds.add(ResponseKind.NOT_EXECUTED);
        List<BackendEvent> events = exchange("POST", "first", UNFRAMED + "x".repeat(1 << 20));
        assertEquals(events, List.of(new BackendEvent.NotExecuted(false)));
        assertFalse(mChannel.isOpen());
    }

    /** Guards against a close or a late copy that is detected only with the next request. */
    @Test
    public void should_read_while_it_is_idle() {
        exchange("GET", "first", LENGTH);
        // The state after a response whose last part arrived right after reading was stopped.
        mConnection.setReading(false);
        mConnection.markIdle(0);
        assertTrue(mChannel.config().isAutoRead());
    }

    @DataProvider
    public Object[][] extraBytes() {
        String copy = "HTTP/1.1 200 OK\r\nX-Name: first\r\nContent-Length: 4\r\n\r\nbody";
        return new Object[][] {{copy}, {copy + copy}, {copy.substring(0, 20)}, {"H"}, {"\r\nx"}};
    }

    /** Guards against a request that is sent behind bytes that cannot be its response. */
    @Test(dataProvider = "extraBytes")
    public void should_not_offer_a_connection_with_bytes_behind_the_response(String extra) {
        List<Boolean> reusable = new ArrayList<>();
        mConnection.send(
                NamedRequests.create("GET", "first"),
                1_000,
                event -> {
                    if (isEnd(event)) {
                        reusable.add(mConnection.isReusable());
                    }
                });
        receive(LENGTH + extra);
        assertEquals(reusable, List.of(false));
    }

    @Test(dataProvider = "extraBytes")
    public void should_close_when_bytes_arrive_while_it_is_idle(String extra) {
        exchange("GET", "first", LENGTH);
        assertTrue(mConnection.isReusable());
        receive(extra);
        assertFalse(mChannel.isOpen());
    }

    /** Guards against a method of an earlier request that decides whether a response has a body. */
    @Test
    public void should_end_responses_to_get_and_head_in_turn() {
        String head = "HTTP/1.1 200 OK\r\nX-Name: first\r\nContent-Length: 4\r\n\r\n";
        exchange("HEAD", "first", head);
        List<BackendEvent> events = exchange("GET", "second", HINTS + LENGTH);
        assertTrue(
                events.getLast() instanceof BackendEvent.Body(byte[] data, boolean last) && last);
        events = exchange("HEAD", "third", HINTS + head);
        assertTrue(
                events.getLast() instanceof BackendEvent.Body(byte[] data, boolean last) && last);
        assertTrue(mConnection.isReusable());
    }

    /** Guards against a next request that is sent on a connection that closes then. */
    @Test
    public void should_not_offer_a_connection_with_a_refusal_that_is_too_long() {
        mDialect.mKinds.add(ResponseKind.NOT_EXECUTED);
        List<Boolean> reusable = new ArrayList<>();
        mConnection.send(
                NamedRequests.create("POST", "first"),
                1_000,
                end -> reusable.add(mConnection.isReusable()));
        receive("HTTP/1.1 503 Busy\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(100_000));
        assertEquals(reusable, List.of(false));
        assertFalse(mChannel.isOpen());
    }

    @Test
    public void should_stop_reading_an_extra_response_without_end() {
        mDialect.mKinds.add(ResponseKind.OTHER_REQUEST);
        List<BackendEvent> events = exchange("POST", "first", UNFRAMED + "x".repeat(1 << 20));
        assertEquals(events.size(), 1);
        assertTrue(events.getFirst() instanceof BackendEvent.Broken);
        assertFalse(mChannel.isOpen());
    }

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {""}, {"HTTP/1.1 200 OK"}, {"HTTP/1.1 200 OK\r\nX-Odd: "}, {"HTTP/1.1 200 OK\r\n"}
        };
    }

    /** Guards against a head without end that is kept in memory or read until the deadline. */
    @Test(dataProvider = "heads")
    public void should_stop_reading_a_head_without_end(String start) {
        List<BackendEvent> events = exchange("GET", "first", start);
        String filler = start.endsWith("\n") ? "X-Odd: 1\r\n".repeat(100) : " ".repeat(1_000);
        for (int part = 0; part < 1_000 && mChannel.isOpen(); part++) {
            mChannel.writeInbound(Unpooled.copiedBuffer(filler, StandardCharsets.US_ASCII));
        }
        assertEquals(events.size(), 1);
        assertTrue(events.getFirst() instanceof BackendEvent.Broken);
        assertFalse(mChannel.isOpen());
    }

    private List<BackendEvent> exchange(String method, String name, String response) {
        List<BackendEvent> events = new ArrayList<>();
        mConnection.send(NamedRequests.create(method, name), 1_000, events::add);
        mChannel.runPendingTasks();
        mChannel.releaseOutbound();
        if (!response.isEmpty()) {
            receive(response);
        }
        return events;
    }

    /**
     * Classifies responses as the test says, as answers when it says nothing; by their names when
     * the test asks for it.
     */
    private static final class ScriptedDialect extends NamedRequests.Dialect {
        private final Deque<ResponseKind> mKinds = new ArrayDeque<>();
        private final List<Boolean> mPositions = new ArrayList<>();
        private boolean mNamed;

        @Override
        public Optional<String> sealField() {
            return Optional.of("x-seal");
        }

        @Override
        public ResponseKind classifyResponse(
                List<HeaderField> request,
                int status,
                HeaderAccessor response,
                boolean firstOnConnection) {
            mPositions.add(firstOnConnection);
            if (mNamed
                    && !HeaderField.find(request, NamedRequests.NAME)
                            .equals(response.firstValue(NamedRequests.NAME))) {
                return ResponseKind.OTHER_REQUEST;
            }
            return mKinds.isEmpty() ? ResponseKind.ANSWER : mKinds.remove();
        }
    }
}
