package org.arbutuslock.internal.detection;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.EndpointId;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/**
 * Encodes and decodes health reports in MessagePack.
 *
 * <pre>{@code
 * HealthReport report = HealthReportCodec.decode(HealthReportCodec.encode(sent));
 * }</pre>
 */
public final class HealthReportCodec {
    private static final int REPORT_FIELDS = 3;
    private static final int TRAFFIC_CLASS_FIELDS = 7;

    private HealthReportCodec() {}

    /**
     * Encodes a report.
     *
     * @param report the report
     * @return the encoded report
     */
    public static byte[] encode(HealthReport report) {
        MessageWriter writer = new MessageWriter().writeArrayHeader(REPORT_FIELDS);
        writer.writeEndpoint(report.destination());
        writer.writeEndpoint(report.source());
        writer.writeArrayHeader(report.digest().trafficClasses().size());
        for (HealthDigest.TrafficClassDigest digest : report.digest().trafficClasses()) {
            writer.writeArrayHeader(TRAFFIC_CLASS_FIELDS)
                    .writeLong(digest.requests())
                    .writeLong(digest.failed())
                    .writeLong(digest.stalled())
                    .writeLong(digest.refused())
                    .writeLong(digest.latencySamples())
                    .writeLong(digest.medianMicros())
                    .writeLong(digest.upperMicros());
        }
        return writer.toBytes();
    }

    /**
     * Decodes a report.
     *
     * @param encoded bytes of exactly one report
     * @return the report
     * @throws MessageFormatException when the bytes are not exactly one valid report
     */
    public static HealthReport decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            reader.expectArray("healthReport", REPORT_FIELDS);
            EndpointId destination = reader.readEndpoint("destination");
            EndpointId source = reader.readEndpoint("source");
            reader.expectArray("lanes", TrafficClass.values().length);
            List<HealthDigest.TrafficClassDigest> digests = new ArrayList<>();
            for (int index = 0; index < TrafficClass.values().length; index++) {
                digests.add(readTrafficClass(reader));
            }
            reader.expectEnd();
            return new HealthReport(destination, source, new HealthDigest(digests));
        }
    }

    private static HealthDigest.TrafficClassDigest readTrafficClass(MessageReader reader)
            throws MessageFormatException {
        reader.expectArray("lane", TRAFFIC_CLASS_FIELDS);
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
