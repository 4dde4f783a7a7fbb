package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.dialect.RequestDialect;
import org.arbutuslock.internal.dialect.ResponseKind;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.HeaderAccessor;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a response that consists of two: copies of earlier responses, cut at each byte,
 * stand before the response to the request in progress, and a copy of that response with another
 * status and body stands behind it.
 */
public class ExtraResponseTest {
    private static final String TRUE_BODY = "the whole body";
    private static final long SEED = Long.getLong("arbutuslock.seed", 20261205);

    private static final String LENGTH = "Content-Length: 14\r\nX-Seal: 1\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\nX-Seal: 1\r\n\r\n";
    private static final String CHUNKS =
            "6;ext=1\r\nthe wh\r\n8\r\nole body\r\n0\r\nX-Trailer: 1\r\n\r\n";
    private static final int WAYS_TO_SPLIT = 4;

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"GET", LENGTH, TRUE_BODY},
            {"GET", CHUNKED, CHUNKS},
            {"HEAD", LENGTH, ""},
            {"HEAD", CHUNKED, ""},
        };
    }

    private static List<String> extras() {
        return List.of(
                response(200, "first", LENGTH + TRUE_BODY),
                response(200, "first", CHUNKED + CHUNKS),
                response(200, "first", LENGTH),
                response(204, "first", "\r\n"),
                response(200, "first", "Content-Length: 400\r\n\r\nthe whole body"),
                response(103, "first", "\r\n") + response(200, "first", "\r\nunframed"),
                response(200, "first", LENGTH + TRUE_BODY)
                        + response(200, "first", CHUNKED + CHUNKS));
    }

    private static String response(int status, String name, String rest) {
        return "HTTP/1.1 " + status + " Status\r\nX-Name: " + name + "\r\n" + rest;
    }

    @Test(dataProvider = "answers")
    public void should_answer_with_one_whole_response_behind_a_copy(
            String method, String fields, String body) {
        String following = answerAndCopy(fields, body);
        Random random = new Random(SEED);
        for (String extra : extras()) {
            for (int length = 0; length <= extra.length(); length++) {
                requireOne(method, extra.substring(0, length) + following, "", random);
            }
        }
    }

    @Test(dataProvider = "answers")
    public void should_answer_with_no_response_that_breaks_off_before_a_copy(
            String method, String fields, String body) {
        String answer = response(500, "second", fields + body);
        List<String> copies = new ArrayList<>(extras());
        copies.add(response(200, "second", fields + body.replace("wh", "no")));
        Random random = new Random(SEED);
        for (String copy : copies) {
            for (int length = 1; length <= answer.length(); length++) {
                requireOne(method, answer.substring(0, length), copy, random);
            }
        }
    }

    /** Guards against a copy whose rest arrives in a later read than the end of the body. */
    @Test
    public void should_answer_with_no_response_that_a_copy_in_parts_fills_up() {
        String answer = response(500, "second", LENGTH + TRUE_BODY);
        String copy = response(200, "second", LENGTH + TRUE_BODY);
        Random random = new Random(SEED);
        for (int length = 1; length <= answer.length(); length++) {
            requireOne("GET", answer.substring(0, length) + copy, "", random);
        }
    }

    private static String answerAndCopy(String fields, String body) {
        return response(500, "second", fields + body)
                + response(200, "second", fields + body.replace("wh", "no"));
    }

    /** Receives some bytes in several ways, split at random places, and others in one read. */
    private static void requireOne(String method, String split, String whole, Random random) {
        for (int way = 0; way < WAYS_TO_SPLIT; way++) {
            String label = "seed " + SEED + ": " + split + whole;
            requireWhole(method, exchange(method, split, whole, random), label);
        }
    }

    private static List<BackendEvent> exchange(
            String method, String split, String whole, Random random) {
        ManualClock clock = new ManualClock();
        RequestDialect dialect = new NamedDialect();
        BackendConnection connection =
                new BackendConnection(dialect, 1, new DroppedResponseLog(clock, dialect));
        EmbeddedChannel channel = new EmbeddedChannel(connection.handlers());
        connection.send(NamedRequests.create("GET", "first"), 1_000, event -> {});
        receive(channel, response(200, "first", "Content-Length: 0\r\nX-Seal: 1\r\n\r\n"));
        assertTrue(connection.isReusable());
        List<BackendEvent> events = new ArrayList<>();
        connection.send(NamedRequests.create(method, "second"), 1_000, events::add);
        for (int from = 0; from < split.length(); ) {
            int until = Math.min(split.length(), from + 1 + random.nextInt(split.length()));
            receive(channel, split.substring(from, until));
            from = until;
        }
        receive(channel, whole);
        channel.close();
        channel.finishAndReleaseAll();
        return events;
    }

    private static void requireWhole(String method, List<BackendEvent> events, String label) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        for (BackendEvent event : events) {
            switch (event) {
                case BackendEvent.Head(int status, List<HeaderField> headers) ->
                        assertEquals(status, 500, label);
                case BackendEvent.Body(byte[] data, boolean last) -> {
                    body.writeBytes(data);
                    complete |= last;
                }
                case BackendEvent.NotExecuted refusal -> {}
                case BackendEvent.Broken broken -> {}
            }
        }
        if (complete) {
            String expected = method.equals("HEAD") ? "" : TRUE_BODY;
            assertEquals(body.toString(StandardCharsets.US_ASCII), expected, label);
        }
    }

    private static void receive(EmbeddedChannel channel, String bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        }
    }

    /** Identifies responses by their names alone. */
    private static final class NamedDialect extends NamedRequests.Dialect {
        @Override
        public ResponseKind classifyResponse(
                List<HeaderField> request,
                int status,
                HeaderAccessor response,
                boolean firstOnConnection) {
            String name = response.firstValue(NamedRequests.NAME);
            if (name == null) {
                return ResponseKind.UNIDENTIFIED;
            }
            return name.equals(HeaderField.find(request, NamedRequests.NAME))
                    ? ResponseKind.ANSWER
                    : ResponseKind.OTHER_REQUEST;
        }
    }
}
