package org.arbutuslock.internal.detection;

import static org.testng.Assert.assertEquals;

import java.util.Collections;
import org.arbutuslock.api.EndpointId;
import org.testng.annotations.Test;

/** Guards against digests that change on the wire, which would shift the group's reference. */
public class HealthReportCodecTest {
    @Test
    public void should_decode_what_was_encoded() throws Exception {
        HealthDigest.TrafficClassDigest lane =
                new HealthDigest.TrafficClassDigest(9, 1, 2, 3, 4, 5_000, 60_000);
        HealthReport report =
                new HealthReport(
                        new EndpointId("orders", "orders-1"),
                        new EndpointId("orders", "orders-2"),
                        new HealthDigest(Collections.nCopies(TrafficClass.values().length, lane)));
        assertEquals(HealthReportCodec.decode(HealthReportCodec.encode(report)), report);
    }
}
