package org.arbutuslock.daemon.internal.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.arbutuslock.internal.membership.NodeRecord;
import org.arbutuslock.internal.membership.NodeRecordCodec;
import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/** Encodes a list of node records as one message. */
final class RecordMessageCodec {
    private static final int MAXIMUM_RECORDS = 10_000;

    private RecordMessageCodec() {}

    static byte[] encode(Collection<NodeRecord> records) {
        MessageWriter writer = new MessageWriter().writeArrayHeader(records.size());
        records.forEach(record -> NodeRecordCodec.write(writer, record));
        return writer.toBytes();
    }

    static List<NodeRecord> decode(byte[] encoded) throws MessageFormatException {
        try (MessageReader reader = new MessageReader(encoded)) {
            int length = reader.readArrayHeader("records", MAXIMUM_RECORDS);
            List<NodeRecord> records = new ArrayList<>();
            for (int index = 0; index < length; index++) {
                records.add(NodeRecordCodec.read(reader));
            }
            reader.expectEnd();
            return records;
        }
    }
}
