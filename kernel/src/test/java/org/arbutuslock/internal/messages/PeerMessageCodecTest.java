package org.arbutuslock.internal.messages;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Random;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.api.RequestId;
import org.arbutuslock.api.WorkClass;
import org.arbutuslock.internal.execution.RefusalReason;
import org.arbutuslock.internal.progress.SubmissionRequirements;
import org.arbutuslock.internal.selection.LoadReport;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Guards against messages that differ after encoding and decoding, and against a decoder that
 * crashes or allocates much memory on malformed input.
 */
public class PeerMessageCodecTest {
    private static final int RANDOM_INPUTS = 100_000;

    @Test
    public void should_decode_what_was_encoded() throws Exception {
        PeerMessage.Submit submit = submit();
        assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(submit)), submit);
        PeerMessage.Refusal refusal =
                new PeerMessage.Refusal(
                        3,
                        RefusalReason.QUEUE_FULL,
                        "queue full",
                        new LoadReport(20, 5, 900, 1_200));
        assertEquals(PeerMessageCodec.decode(PeerMessageCodec.encode(refusal)), refusal);
    }

    /** Guards against nodes of two releases that cannot submit requests to each other. */
    @Test
    public void should_read_a_submission_without_a_route() throws Exception {
        PeerMessage.Submit submit = submit("");
        byte[] encoded = PeerMessageCodec.encode(submit);
        assertEquals(encoded[0], (byte) (0x90 | MessageType.SUBMIT.fieldCount()));
        assertEquals(PeerMessageCodec.decode(encoded), submit);
    }

    @Test
    public void should_report_position_and_field_of_a_malformed_message() {
        byte[] encoded =
                new MessageWriter().writeArrayHeader(2).writeLong(2).writeString("x").toBytes();
        MessageFormatException error =
                expectThrows(MessageFormatException.class, () -> PeerMessageCodec.decode(encoded));
        assertEquals(error.getMessage(), "byte 2, field number: read STRING, allowed INTEGER");
    }

    @Test
    public void should_reject_a_length_before_memory_is_allocated() {
        byte[] claimsTwoGigabytes = {
            (byte) 0x94, 5, 1, 0, (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff
        };
        MessageFormatException error =
                expectThrows(
                        MessageFormatException.class,
                        () -> PeerMessageCodec.decode(claimsTwoGigabytes));
        assertEquals(
                error.getMessage(), "byte 9, field data: length 2147483647, allowed 0 to 16384");
    }

    @Test
    public void should_decode_or_reject_random_and_mutated_input() throws Exception {
        long seed = Long.getLong("arbutuslock.seed", 20261204L);
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        byte[] valid = PeerMessageCodec.encode(submit());
        for (int input = 0; input < RANDOM_INPUTS; input++) {
            byte[] bytes = input % 2 == 0 ? valid.clone() : new byte[random.nextInt(64)];
            if (input % 2 == 0) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            } else {
                random.nextBytes(bytes);
            }
            decodeOrReject(bytes);
        }
    }

    private static void decodeOrReject(byte[] bytes) {
        try {
            PeerMessageCodec.decode(bytes);
        } catch (MessageFormatException rejected) {
            assertEquals(rejected.getMessage().startsWith("byte "), true);
        }
    }

    private static PeerMessage.Submit submit() {
        return submit("menu");
    }

    private static PeerMessage.Submit submit(String route) {
        return new PeerMessage.Submit(
                9,
                new RequestId("calgary-a-1", 77, 12),
                new EndpointId("order-hub", "order-hub-3"),
                "POST",
                "/orders?shop=12",
                List.of(new HeaderField("content-type", "application/json")),
                120,
                WorkClass.SHORT,
                false,
                "shop-12",
                1,
                5,
                1_500,
                SubmissionRequirements.NONE,
                route);
    }
}
