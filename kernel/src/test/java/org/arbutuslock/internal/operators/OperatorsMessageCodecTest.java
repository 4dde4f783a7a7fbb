package org.arbutuslock.internal.operators;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.testng.annotations.Test;

/**
 * Guards against messages that change when they are encoded and decoded, truncated messages that
 * are accepted, and replies so large that the receiving node rejects them.
 */
public class OperatorsMessageCodecTest {
    private static final EndpointId ID = new EndpointId("order-hub", "order-hub-1");

    @Test
    public void should_decode_what_it_encodes_and_reject_every_truncation() throws Exception {
        OperatorsReply reply = reply("the floor", 2);
        byte[] bytes = OperatorsMessageCodec.encode(reply);
        assertEquals(OperatorsMessageCodec.decode(bytes), reply);
        for (int length = 0; length < bytes.length; length++) {
            byte[] truncated = Arrays.copyOf(bytes, length);
            assertThrows(
                    MessageFormatException.class, () -> OperatorsMessageCodec.decode(truncated));
        }
        OperatorsRequest request =
                new OperatorsRequest(4, OperatorsRequest.Action.UNDRAIN, "order-hub-1");
        assertEquals(OperatorsMessageCodec.decode(OperatorsMessageCodec.encode(request)), request);
    }

    /** Uses the euro sign: no Java char takes more than its three bytes in UTF-8. */
    @Test
    public void should_truncate_a_reply_so_that_the_other_node_accepts_it() throws Exception {
        OperatorsReply reply = reply("\u20ac".repeat(10_000), 1_000);
        byte[] bytes = OperatorsMessageCodec.encode(reply);
        OperatorsReply decoded = (OperatorsReply) OperatorsMessageCodec.decode(bytes);
        assertEquals(decoded.decisions().size(), OperatorsMessageCodec.MAXIMUM_DECISIONS);
        assertEquals(decoded.reason().length(), OperatorsMessageCodec.MAXIMUM_TEXT_CHARACTERS);
    }

    private static OperatorsReply reply(String reason, int decisions) {
        var decision = new EjectionDecision(5, EndpointState.REDUCED, 10, reason, reason, 3);
        return new OperatorsReply(
                7,
                OperatorsReply.Outcome.REFUSED_BY_FLOOR,
                reason,
                List.of(new EndpointRecord(ID, 5, EndpointState.IN_SERVICE, 100)),
                Collections.nCopies(decisions, new OperatorsReply.EndpointDecision(ID, decision)));
    }
}
