package org.arbutuslock.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageWriter;
import org.testng.annotations.Test;

/** Encoding of membership messages, and bounds against faulty peers. */
public final class GossipMessageCodecTest {
    private static final GossipMessage.Sender SENDER =
            new GossipMessage.Sender("calgary-a-1", "127.0.0.1:7000");
    private static final NodeRecord RECORD =
            new NodeRecord(
                    "calgary-a-1",
                    3,
                    9,
                    "127.0.0.1:7000",
                    "west-prairie",
                    "calgary-a",
                    4,
                    true,
                    List.of(GossipSimulation.endpoint("order-hub-1", 50)));
    private static final List<GossipMessage> MESSAGES =
            List.of(
                    new GossipMessage.Heartbeat(SENDER, 1),
                    new GossipMessage.HeartbeatReply(SENDER, 1),
                    new GossipMessage.IndirectHeartbeat(SENDER, 1, "127.0.0.1:7001"),
                    new GossipMessage.Delta(
                            SENDER,
                            true,
                            List.of(
                                    new MembershipUpdate.Present(RECORD),
                                    new MembershipUpdate.Departed(Tombstone.of(RECORD)),
                                    new MembershipUpdate.Suspected("calgary-a-1", 3, 9))),
                    new GossipMessage.PartStamps(
                            SENDER,
                            List.of(
                                    new GossipMessage.Part(
                                            7, List.of(new GossipMessage.Stamp(-5, 3, 9, true))))),
                    new GossipMessage.UpdateRequest(SENDER, List.of(-5L, 5L)));

    /** Guards against a field that is written and read differently. */
    @Test
    public void should_read_what_was_written() throws MessageFormatException {
        for (GossipMessage message : MESSAGES) {
            assertEquals(GossipMessageCodec.decode(GossipMessageCodec.encode(message)), message);
        }
        long[] hashes = new SplittableRandom(1).longs(GossipMessage.BUCKETS).toArray();
        byte[] encoded = GossipMessageCodec.encode(new GossipMessage.Digest(SENDER, hashes));
        GossipMessage.Digest digest = (GossipMessage.Digest) GossipMessageCodec.decode(encoded);
        assertEquals(digest.hashes(), hashes);
    }

    /** Guards against another exception than a format error for bytes of a faulty peer. */
    @Test
    public void should_reject_damaged_messages() {
        long seed = Long.getLong("arbutuslock.seed", 20_261_204L);
        System.out.println("GossipMessageCodecTest arbutuslock.seed=" + seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (GossipMessage message : MESSAGES) {
            byte[] encoded = GossipMessageCodec.encode(message);
            assertThrows(
                    MessageFormatException.class,
                    () -> GossipMessageCodec.decode(Arrays.copyOf(encoded, encoded.length - 1)));
            for (int round = 0; round < 500; round++) {
                byte[] damaged = encoded.clone();
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
                try {
                    GossipMessageCodec.decode(damaged);
                } catch (MessageFormatException expected) {
                    assertEquals(expected.getMessage().contains("field"), true);
                }
            }
        }
    }

    /** Guards against memory taken for a length that no message has. */
    @Test
    public void should_reject_lengths_beyond_their_bound() {
        MessageWriter delta =
                new MessageWriter()
                        .writeArrayHeader(5)
                        .writeLong(3)
                        .writeString("a")
                        .writeString("b")
                        .writeBoolean(false)
                        .writeArrayHeader(Integer.MAX_VALUE);
        assertThrows(
                MessageFormatException.class, () -> GossipMessageCodec.decode(delta.toBytes()));
        byte[] oversized = new byte[GossipMessageCodec.MAXIMUM_MESSAGE_BYTES + 1];
        assertThrows(MessageFormatException.class, () -> GossipMessageCodec.decode(oversized));
    }
}
