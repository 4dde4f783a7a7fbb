package org.arbutuslock.daemon.internal.home;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.arbutuslock.api.ManualClock;
import org.arbutuslock.internal.dialect.ResponseKind;
import org.arbutuslock.internal.messages.HeaderField;
import org.arbutuslock.internal.routing.HeaderAccessor;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a body that breaks off and is filled up by a copy of its response, and against
 * sound bodies that are taken for one or that wait without need.
 */
public class FilledBodyTest {
    private static final long SEED = Long.getLong("arbutuslock.seed", 20261206);
    private static final int BODY_BYTES = 2_000;
    private static final int HOLD_MILLIS = 20;

    private EmbeddedChannel mChannel;
    private BackendConnection mConnection;
    private List<BackendEvent> mEvents;

    @BeforeMethod
    public void open() {
        SealingDialect dialect = new SealingDialect();
        mConnection =
                new BackendConnection(
                        dialect, 1, new DroppedResponseLog(new ManualClock(), dialect));
        mChannel = new EmbeddedChannel(mConnection.handlers());
        mChannel.freezeTime();
        mEvents = new ArrayList<>();
        mConnection.send(NamedRequests.create("GET", "first"), 1_000, mEvents::add);
    }

    @AfterMethod
    public void close() {
        mChannel.finishAndReleaseAll();
    }

    /** The rest of the copy never arrives, so only the body itself shows what happened. */
    @Test
    public void should_reject_a_body_with_a_copy_of_its_own_head() {
        Random random = new Random(SEED);
        String head = head("first", "1");
        String body = "b".repeat(BODY_BYTES);
        int last = BODY_BYTES - head.length();
        for (int broken = 0; broken <= last; broken += 1 + random.nextInt(40)) {
            String label = "seed " + SEED + ", broken off after " + broken;
            open();
            String filled = body.substring(0, broken) + head + body;
            receiveSplit(head + filled.substring(0, BODY_BYTES), random);
            mChannel.advanceTimeBy(HOLD_MILLIS, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
            assertFalse(isWhole(), label);
            assertFalse(mConnection.isReusable(), label);
            close();
        }
    }

    /** The copy breaks off in its head, and the head of a second copy follows. */
    @Test
    public void should_reject_a_body_with_two_copies_of_its_own_head() {
        String head = head("first", "1");
        for (int length = 1; length < head.length(); length++) {
            open();
            String filled = head.substring(0, length) + head + "b".repeat(BODY_BYTES);
            receive(head + filled.substring(0, BODY_BYTES));
            mChannel.advanceTimeBy(HOLD_MILLIS, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
            assertFalse(isWhole(), "first copy of " + length + " bytes");
            close();
        }
    }

    /** Guards against a body whose search takes longer the more status lines it quotes. */
    @Test(timeOut = 60_000)
    public void should_pass_on_a_long_body_of_status_lines() {
        String line = "HTTP/1.1 200 : x\r\n";
        int lines = 1 << 19;
        receive(head("first", "1", line.length() * lines));
        for (int part = 0; part < lines / 256; part++) {
            receive(line.repeat(256));
        }
        mChannel.advanceTimeBy(HOLD_MILLIS, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertTrue(isWhole());
    }

    @DataProvider
    public Object[][] quotes() {
        return new Object[][] {
            {head("other", "2")},
            {"HTTP/1.1 404 Not Found\r\n"},
            {"see HTTP/1.1 500"},
            {"HTTP/1.1 500"},
            {"HTTP/1.1 50"},
            {"the letter H"}
        };
    }

    @Test(dataProvider = "quotes")
    public void should_pass_on_a_body_that_quotes_a_response(String quote) {
        receive(head("first", "1", quote.length()) + quote);
        assertFalse(isWhole());
        mChannel.advanceTimeBy(HOLD_MILLIS, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertTrue(isWhole());
        assertTrue(mConnection.isReusable());
    }

    @Test(dataProvider = "quotes")
    public void should_pass_on_a_body_that_quotes_a_response_when_the_connection_closes(
            String quote) {
        receive(head("first", "1", quote.length()) + quote);
        mChannel.close();
        assertTrue(isWhole());
        assertEquals(mEvents.stream().filter(BackendEvent.Broken.class::isInstance).count(), 0);
    }

    /** A late copy behind a whole body is no reason to reject the body. */
    @Test
    public void should_pass_on_a_body_before_a_separate_response() {
        receive(head("first", "1", 1) + "H");
        receive(head("first", "1", 1) + "H");
        assertTrue(isWhole());
        assertFalse(mConnection.isReusable());
    }

    @Test
    public void should_not_hold_other_bodies() {
        receive(head("first", "1", 4) + "body");
        assertTrue(isWhole());
        assertTrue(mConnection.isReusable());
    }

    @Test
    public void should_emit_nothing_after_a_held_request_was_aborted() {
        receive(head("first", "1", 1) + "H");
        int events = mEvents.size();
        mConnection.abort();
        mChannel.advanceTimeBy(HOLD_MILLIS, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        assertEquals(mEvents.size(), events);
    }

    private boolean isWhole() {
        return mEvents.stream()
                .anyMatch(
                        event ->
                                event instanceof BackendEvent.Body(byte[] data, boolean last)
                                        && last);
    }

    private static String head(String name, String seal) {
        return head(name, seal, BODY_BYTES);
    }

    private static String head(String name, String seal, int length) {
        return "HTTP/1.1 200 OK\r\nX-Name: "
                + name
                + "\r\nX-Seal: "
                + seal
                + "\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    private void receiveSplit(String bytes, Random random) {
        for (int from = 0; from < bytes.length(); ) {
            int until = Math.min(bytes.length(), from + 1 + random.nextInt(300));
            receive(bytes.substring(from, until));
            from = until;
        }
    }

    private void receive(String bytes) {
        if (mChannel.isOpen()) {
            mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        }
    }

    /** Identifies responses by name and bodies by seal. */
    private static final class SealingDialect extends NamedRequests.Dialect {
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
            return ResponseKind.ANSWER;
        }
    }
}
