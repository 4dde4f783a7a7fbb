package org.arbutuslock.internal.configuration.spread;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.UUID;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageWriter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a codec that loses a field, and against memory that is allocated for an encoded
 * length before the length is checked.
 */
public class SpreadMessageCodecTest {
    private static final SpreadMessage.Sender SENDER =
            new SpreadMessage.Sender("mona-1", "127.0.0.1:7001");
    private static final UUID ID = new UUID(-3, 4);
    private static final int CHANGES_TYPE = 1;

    @DataProvider
    public Object[][] messages() {
        SpreadMessage.Origin origin = new SpreadMessage.Origin("kingston", "kgn-mona");
        return new Object[][] {
            {new SpreadMessage.Digest(SENDER, 7, ID, 3, 900, true)},
            {new SpreadMessage.Changes(SENDER, 9, ID, origin, false, List.of(new byte[] {1, 2}))},
            {new SpreadMessage.ChangesRequest(SENDER, 8, ID)},
            {new SpreadMessage.SnapshotRequest(SENDER, 0, 5, 4)},
            {new SpreadMessage.SnapshotPart(SENDER, 11, 2, 3, new byte[] {5})},
        };
    }

    @Test(dataProvider = "messages")
    public void should_decode_what_was_encoded(SpreadMessage message) throws Exception {
        byte[] encoded = SpreadMessageCodec.encode(message);
        assertEquals(SpreadMessageCodec.encode(SpreadMessageCodec.decode(encoded)), encoded);
    }

    @Test(dataProvider = "messages")
    public void should_refuse_a_truncated_message(SpreadMessage message) {
        byte[] encoded = SpreadMessageCodec.encode(message);
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(encoded, length);
            assertThrows(MessageFormatException.class, () -> SpreadMessageCodec.decode(truncated));
        }
    }

    @Test
    public void should_refuse_a_length_above_its_bound() {
        MessageWriter writer = new MessageWriter();
        writer.writeArrayHeader(10).writeLong(CHANGES_TYPE).writeString("mona-1").writeString("a");
        writer.writeLong(1).writeLong(0).writeLong(0).writeString("kingston").writeString("zone");
        byte[] encoded = writer.writeBoolean(true).writeArrayHeader(Integer.MAX_VALUE).toBytes();
        assertThrows(MessageFormatException.class, () -> SpreadMessageCodec.decode(encoded));
    }
}
