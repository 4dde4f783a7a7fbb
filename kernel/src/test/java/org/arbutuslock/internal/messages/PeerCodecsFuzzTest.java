package org.arbutuslock.internal.messages;

import java.util.Collections;
import java.util.List;
import java.util.function.Function;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.detection.HealthDigest;
import org.arbutuslock.internal.detection.HealthReport;
import org.arbutuslock.internal.detection.HealthReportCodec;
import org.arbutuslock.internal.detection.TrafficClass;
import org.arbutuslock.internal.ejection.EjectionDecision;
import org.arbutuslock.internal.ejection.EndpointState;
import org.arbutuslock.internal.ejection.ReservationEnvelope;
import org.arbutuslock.internal.ejection.ReservationEnvelopeCodec;
import org.arbutuslock.internal.ejection.ReservationMessage;
import org.arbutuslock.internal.membership.EndpointRecord;
import org.arbutuslock.internal.membership.GossipMessage;
import org.arbutuslock.internal.membership.GossipMessageCodec;
import org.arbutuslock.internal.membership.MembershipUpdate;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.membership.Tombstone;
import org.arbutuslock.internal.operators.OperatorsMessage;
import org.arbutuslock.internal.operators.OperatorsMessageCodec;
import org.arbutuslock.internal.operators.OperatorsReply;
import org.arbutuslock.internal.operators.OperatorsRequest;
import org.arbutuslock.internal.testing.DecoderFuzz;
import org.testng.annotations.Test;

/**
 * Guards against damaged messages of another node. They could crash a decoder, make it allocate
 * much memory, or decode to values that this node forwards and other nodes reject.
 */
public class PeerCodecsFuzzTest {
    private static final EndpointId FIRST = new EndpointId("orders", "orders-1");

    /** Has a name of the largest length, to detect damage that makes a name too long to forward. */
    private static final EndpointId SECOND = new EndpointId("orders", "o".repeat(255));

    private static final GossipMessage.Sender SENDER =
            new GossipMessage.Sender("calgary-a-1", "127.0.0.1:7000");
    private static final EndpointRecord ENDPOINT =
            new EndpointRecord(FIRST, 5, EndpointState.IN_SERVICE, 100);
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
                    List.of(ENDPOINT));

    private static final Tombstone DEPARTURE =
            new Tombstone("calgary-a-1", 3, 9, "127.0.0.1:7000", "west-prairie", "calgary-a");

    private interface Decode<T> {
        T apply(byte[] bytes) throws MessageFormatException;
    }

    private static <T> void fuzz(
            String name, List<T> valid, Function<T, byte[]> encode, Decode<T> decode) {
        new DecoderFuzz(
                        name,
                        valid.stream().map(encode).toList(),
                        DecoderFuzz.MESSAGE_PACK_TOKENS,
                        "^byte \\d+, field \\w+")
                .run(
                        MessageFormatException.class,
                        new DecoderFuzz.Codec<T>() {
                            @Override
                            public T decode(byte[] bytes) throws MessageFormatException {
                                return decode.apply(bytes);
                            }

                            @Override
                            public byte[] encode(T value) {
                                return encode.apply(value);
                            }
                        });
    }

    @Test
    public void should_decode_or_reject_damaged_gossip_messages() {
        List<GossipMessage> valid =
                List.of(
                        new GossipMessage.IndirectHeartbeat(SENDER, 1, "127.0.0.1:7001"),
                        new GossipMessage.Delta(
                                SENDER,
                                true,
                                List.of(
                                        new MembershipUpdate.Present(RECORD),
                                        new MembershipUpdate.Departed(DEPARTURE),
                                        new MembershipUpdate.Suspected("calgary-a-1", 3, 9))),
                        new GossipMessage.Digest(SENDER, new long[GossipMessage.BUCKETS]),
                        new GossipMessage.BucketDigest(
                                SENDER, List.of(5), new long[GossipMessage.PARTS_PER_BUCKET]),
                        new GossipMessage.PartStamps(
                                SENDER,
                                List.of(
                                        new GossipMessage.Part(
                                                7,
                                                List.of(new GossipMessage.Stamp(-5, 3, 9, true))))),
                        new GossipMessage.UpdateRequest(SENDER, List.of(-5L, 5L)));
        fuzz("gossip", valid, GossipMessageCodec::encode, GossipMessageCodec::decode);
    }

    @Test
    public void should_decode_or_reject_damaged_reservation_messages() {
        List<ReservationEnvelope> valid =
                List.<ReservationMessage>of(
                                new ReservationMessage.Request(FIRST, 7, Long.MAX_VALUE, 6_000),
                                new ReservationMessage.Reply(
                                        SECOND, -3, FIRST, 7, 1, false, "suspect"),
                                new ReservationMessage.Release(FIRST, 7, 2),
                                new ReservationMessage.Revoked(SECOND, 3, FIRST, 7, 2))
                        .stream()
                        .map(message -> new ReservationEnvelope(SECOND, message))
                        .toList();
        fuzz(
                "reservations",
                valid,
                ReservationEnvelopeCodec::encode,
                ReservationEnvelopeCodec::decode);
    }

    @Test
    public void should_decode_or_reject_damaged_health_reports() {
        HealthDigest.TrafficClassDigest trafficClass =
                new HealthDigest.TrafficClassDigest(9, 1, 2, 3, 4, 5_000, 60_000);
        HealthReport valid =
                new HealthReport(
                        FIRST,
                        SECOND,
                        new HealthDigest(
                                Collections.nCopies(TrafficClass.values().length, trafficClass)));
        fuzz("health", List.of(valid), HealthReportCodec::encode, HealthReportCodec::decode);
    }

    @Test
    public void should_decode_or_reject_damaged_operators_messages() {
        EjectionDecision decision =
                new EjectionDecision(5, EndpointState.REDUCED, 10, "slow", "p50 5 s", 3);
        List<OperatorsMessage> valid =
                List.of(
                        new OperatorsRequest(4, OperatorsRequest.Action.UNDRAIN, "orders-1"),
                        new OperatorsReply(
                                7,
                                OperatorsReply.Outcome.REFUSED_BY_FLOOR,
                                "the floor",
                                List.of(ENDPOINT),
                                List.of(new OperatorsReply.EndpointDecision(FIRST, decision))));
        fuzz("operators", valid, OperatorsMessageCodec::encode, OperatorsMessageCodec::decode);
    }
}
