package org.arbutuslock.internal.ejection;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.testng.annotations.Test;

/**
 * Guards against reservation messages that change when they are encoded and decoded, which would
 * break the floor.
 */
public class ReservationEnvelopeCodecTest {
    private static final EndpointId FIRST = new EndpointId("orders", "orders-1");
    private static final EndpointId SECOND = new EndpointId("orders", "orders-2");

    @Test
    public void should_decode_every_message_that_was_encoded() throws Exception {
        List<ReservationMessage> messages =
                List.of(
                        new ReservationMessage.Request(FIRST, 7, Long.MAX_VALUE, 6_000),
                        new ReservationMessage.Reply(SECOND, -3, FIRST, 7, 1, false, "suspect"),
                        new ReservationMessage.Release(FIRST, 7, 2),
                        new ReservationMessage.Revoked(SECOND, 3, FIRST, 7, 2));
        for (ReservationMessage message : messages) {
            ReservationEnvelope envelope = new ReservationEnvelope(SECOND, message);
            assertEquals(
                    ReservationEnvelopeCodec.decode(ReservationEnvelopeCodec.encode(envelope)),
                    envelope);
        }
    }
}
