package org.arbutuslock.internal.ejection;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.testng.annotations.Test;

/**
 * Guards against pledge messages that change when they are encoded and decoded, which would break
 * the floor.
 */
public class PledgeEnvelopeCodecTest {
    private static final EndpointId FIRST = new EndpointId("orders", "orders-1");
    private static final EndpointId SECOND = new EndpointId("orders", "orders-2");

    @Test
    public void should_decode_every_message_that_was_encoded() throws Exception {
        List<PledgeMessage> messages =
                List.of(
                        new PledgeMessage.Request(FIRST, 7, Long.MAX_VALUE, 6_000),
                        new PledgeMessage.Reply(SECOND, -3, FIRST, 7, 1, false, "suspect"),
                        new PledgeMessage.Release(FIRST, 7, 2),
                        new PledgeMessage.Revoked(SECOND, 3, FIRST, 7, 2));
        for (PledgeMessage message : messages) {
            PledgeEnvelope envelope = new PledgeEnvelope(SECOND, message);
            assertEquals(
                    PledgeEnvelopeCodec.decode(PledgeEnvelopeCodec.encode(envelope)), envelope);
        }
    }
}
