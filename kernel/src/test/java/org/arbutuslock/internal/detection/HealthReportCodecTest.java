package org.arbutuslock.internal.detection;

import static org.testng.Assert.assertEquals;

import java.util.Collections;
import org.arbutuslock.api.EndpointId;
import org.testng.annotations.Test;

/**
 * Guards against health reports that change when they are encoded and decoded, which would falsify
 * the baseline of the group.
 */
public class HealthReportCodecTest {
    @Test
    public void should_decode_what_was_encoded() throws Exception {
        HealthDigest.TrafficClassDigest digest =
                new HealthDigest.TrafficClassDigest(9, 1, 2, 3, 4, 5_000, 60_000);
        HealthReport report =
                new HealthReport(
                        new EndpointId("orders", "orders-1"),
                        new EndpointId("orders", "orders-2"),
                        new HealthDigest(
                                Collections.nCopies(TrafficClass.values().length, digest)));
        assertEquals(HealthReportCodec.decode(HealthReportCodec.encode(report)), report);
    }
}
