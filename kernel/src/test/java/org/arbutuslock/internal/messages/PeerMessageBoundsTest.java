package org.arbutuslock.internal.messages;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.selection.LoadReport;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a writer that sends what the reader rejects. A request with many header fields,
 * which the entry node had accepted, ended the sessions of all home nodes that it was sent to.
 */
public class PeerMessageBoundsTest {
    private static final int DRAWS = 4_000;
    private static final int LARGEST_HEAD_BYTES = 65_536;
    private static final LoadReport LOAD = new LoadReport(1, 5, 0, 0);
    private static final RequestId ID = new RequestId("calgary-a-1", 77, 16);

    @Test
    public void should_read_every_message_that_was_written() {
        long seed = Long.getLong("arbutuslock.seed", 20_261_205L);
        Reporter.log("seed " + seed, true);
        SplittableRandom random = new SplittableRandom(seed);
        int written = 0;
        int rejected = 0;
        for (int draw = 0; draw < DRAWS; draw++) {
            PeerMessage message = draw(random);
            byte[] encoded;
            try {
                encoded = PeerMessageCodec.encode(message);
            } catch (MessageFormatException beyondBound) {
                rejected++;
                continue;
            }
            written++;
            requireReadable(encoded, "seed " + seed + ", draw " + draw);
        }
        assertTrue(written > DRAWS / 4 && rejected > DRAWS / 20, written + " and " + rejected);
    }

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {fields(304, "n", 8)},
            {fields(LARGEST_HEAD_BYTES / 2, "n", 0)},
            {fields(1, "n".repeat(300), 8)},
            {fields(1, "n", LARGEST_HEAD_BYTES)},
            {List.of(new HeaderField("n", "\u00ff".repeat(LARGEST_HEAD_BYTES)))},
        };
    }

    /**
     * Guards against bounds below those of the callers' interface, whatever the head looks like.
     */
    @Test(dataProvider = "heads")
    public void should_carry_every_head_that_callers_may_send(List<HeaderField> head)
            throws Exception {
        PeerMessage.Submit submit = submit("x".repeat(300), "/" + "t".repeat(60_000), head);
        assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(submit)), submit);
        PeerMessage.ResponseHead response = new PeerMessage.ResponseHead(3, 200, head, LOAD);
        assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(response)), response);
    }

    @Test
    public void should_carry_a_deadline_beyond_one_hour() throws Exception {
        PeerMessage.Submit submit = submit("GET", "/", List.of());
        assertEquals(submit.remainingMillis(), 7_200_000);
        assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(submit)), submit);
    }

    @Test
    public void should_find_the_subject_of_a_message_that_cannot_be_decoded() throws Exception {
        byte[] submit = PeerMessageCodec.encode(submit("GET", "/", List.of()));
        byte[] broken = Arrays.copyOf(submit, submit.length - 1);
        assertEquals(MessageSubject.of(broken), new MessageSubject.Submission(9));
        assertEquals(MessageSubject.of(new byte[] {(byte) 0xc1}), new MessageSubject.Other());
    }

    private static void requireReadable(byte[] encoded, String label) {
        try {
            byte[] again = PeerMessageCodec.encode(PeerMessageCodec.decode(encoded));
            assertTrue(Arrays.equals(again, encoded), label + ": the encoding changes");
            assertFalse(encoded.length > PeerMessageCodec.MAXIMUM_MESSAGE_BYTES, label);
        } catch (MessageFormatException unreadable) {
            throw new AssertionError(label + ": the reader rejects what was written", unreadable);
        }
    }

    private static PeerMessage draw(SplittableRandom random) {
        return switch (random.nextInt(9)) {
            case 0 -> submit(text(random, 400), text(random, 300_000), drawFields(random));
            case 1 ->
                    new PeerMessage.ResponseHead(
                            random.nextInt(-2, 100),
                            random.nextInt(1_100),
                            drawFields(random),
                            new LoadReport(1, random.nextInt(3), random.nextInt(-1, 5), 0));
            case 2 ->
                    new PeerMessage.OutcomeReply(
                            random.nextInt(100),
                            OutcomeState.ANSWERED,
                            Optional.of(
                                    new BufferedResponse(
                                            random.nextInt(1_100),
                                            drawFields(random),
                                            new byte[size(random, 1 << 20)])));
            case 3 ->
                    new PeerMessage.Refusal(
                            1, RefusalReason.QUEUE_FULL, text(random, 300_000), LOAD);
            case 4 -> new PeerMessage.OutcomeUnknown(1, text(random, 300_000), LOAD);
            case 5 -> new PeerMessage.ResponseBody(1, 0, new byte[size(random, 20_000)], true);
            case 6 -> new PeerMessage.Credit(1, random.nextInt(-1, 1 << 21));
            case 7 ->
                    new PeerMessage.Hello(
                            random.nextInt(3),
                            1,
                            text(random, 300),
                            1,
                            text(random, 300),
                            text(random, 300));
            default ->
                    new PeerMessage.ChannelMessage(
                            PeerMessage.Channel.HEALTH, new byte[size(random, 1 << 20)]);
        };
    }

    private static List<HeaderField> drawFields(SplittableRandom random) {
        List<HeaderField> fields = new ArrayList<>();
        int count = random.nextInt(4) == 0 ? random.nextInt(2_000) : random.nextInt(5);
        for (int index = 0; index < count; index++) {
            fields.add(new HeaderField(text(random, 300), text(random, 600)));
        }
        return fields;
    }

    /** Draws a text with characters of one, two and three bytes in UTF-8. */
    private static String text(SplittableRandom random, int limit) {
        String character = List.of("a", "\u00e9", "\u20ac").get(random.nextInt(3));
        return character.repeat(size(random, limit));
    }

    /** Draws a size that is small in most draws and near or beyond the limit in some. */
    private static int size(SplittableRandom random, int limit) {
        return random.nextInt(8) == 0 ? limit + random.nextInt(-8, 8) : random.nextInt(64);
    }

    private static List<HeaderField> fields(int count, String name, int valueLength) {
        List<HeaderField> fields = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            fields.add(new HeaderField(name, "v".repeat(valueLength)));
        }
        return fields;
    }

    private static PeerMessage.Submit submit(
            String method, String target, List<HeaderField> headers) {
        return new PeerMessage.Submit(
                9,
                ID,
                new EndpointId("order-hub", "order-hub-3"),
                method,
                target,
                headers,
                120,
                WorkClass.SHORT,
                false,
                "shop-12".repeat(40),
                1,
                5,
                7_200_000,
                SubmissionRequirements.NONE,
                "menu");
    }
}
