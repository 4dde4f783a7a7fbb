package org.arbutuslock.internal.detection;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/**
 * Encodes health digests with MessagePack.
 *
 * <pre>{@code
 * HealthReport report = HealthReportCodec.decode(HealthReportCodec.encode(sent));
 * }</pre>
 */
public final class HealthReportCodec {
    private static final int REPORT_FIELDS = 3;
    private static final int LANE_FIELDS = 7;

    private HealthReportCodec() {}

    /**
     * Encodes a report.
     *
     * @param report the report
     * @return its bytes
     */
    public static byte[] encode(HealthReport report) {
        MessageWriter writer = new MessageWriter().writeArrayHeader(REPORT_FIELDS);
        writer.writeEndpoint(report.destination());
        writer.writeEndpoint(report.source());
        writer.writeArrayHeader(report.digest().trafficClasses().size());
        for (HealthDigest.TrafficClassDigest lane : report.digest().trafficClasses()) {
            writer.writeArrayHeader(LANE_FIELDS)
                    .writeLong(lane.requests())
                    .writeLong(lane.failed())
                    .writeLong(lane.stalled())
                    .writeLong(lane.refused())
                    .writeLong(lane.latencySamples())
                    .writeLong(lane.medianMicros())
                    .writeLong(lane.upperMicros());
        }
        return writer.toBytes();
    }

    /**
     * Decodes a report.
     *
     * @param encoded its bytes
     * @return the report
     * @throws MessageFormatException when the bytes are not exactly one report
     */
    public static HealthReport decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            reader.expectArray("healthReport", REPORT_FIELDS);
            EndpointId destination = reader.readEndpoint("destination");
            EndpointId source = reader.readEndpoint("source");
            reader.expectArray("lanes", TrafficClass.values().length);
            List<HealthDigest.TrafficClassDigest> lanes = new ArrayList<>();
            for (int lane = 0; lane < TrafficClass.values().length; lane++) {
                lanes.add(readLane(reader));
            }
            reader.expectEnd();
            return new HealthReport(destination, source, new HealthDigest(lanes));
        }
    }

    private static HealthDigest.TrafficClassDigest readLane(MessageReader reader)
            throws MessageFormatException {
        reader.expectArray("lane", LANE_FIELDS);
        return new HealthDigest.TrafficClassDigest(
                readCount(reader, "requests"),
                readCount(reader, "failed"),
                readCount(reader, "stalled"),
                readCount(reader, "refused"),
                readCount(reader, "latencySamples"),
                readCount(reader, "medianMicros"),
                readCount(reader, "upperMicros"));
    }

    private static int readCount(MessageReader reader, String field) throws MessageFormatException {
        return reader.readInt(field, 0, Integer.MAX_VALUE);
    }
}
