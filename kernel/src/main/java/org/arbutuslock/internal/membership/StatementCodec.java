package org.arbutuslock.internal.membership;

import org.arbutuslock.internal.messages.MessageFormatException;
import org.arbutuslock.internal.messages.MessageReader;
import org.arbutuslock.internal.messages.MessageWriter;

/** Encodes statements as a kind and its fields. */
final class StatementCodec {
    private static final int MAXIMUM_NAME_BYTES = 255;

    private StatementCodec() {}

    static void write(MessageWriter writer, MembershipUpdate statement) {
        switch (statement) {
            case MembershipUpdate.Present(NodeRecord record) ->
                    NodeRecordCodec.write(writer.writeEnum(Kind.PRESENT), record);
            case MembershipUpdate.Departed(Tombstone departure) ->
                    writer.writeEnum(Kind.DEPARTED)
                            .writeString(departure.node())
                            .writeLong(departure.incarnation())
                            .writeLong(departure.version())
                            .writeString(departure.peerAddress())
                            .writeString(departure.region())
                            .writeString(departure.availabilityZone());
            case MembershipUpdate.Suspected(String node, long incarnation, long version) ->
                    writer.writeEnum(Kind.SUSPECTED)
                            .writeString(node)
                            .writeLong(incarnation)
                            .writeLong(version);
        }
    }

    static MembershipUpdate read(MessageReader reader) throws MessageFormatException {
        return switch (reader.readEnum("kind", Kind.values())) {
            case PRESENT -> new MembershipUpdate.Present(NodeRecordCodec.read(reader));
            case DEPARTED ->
                    new MembershipUpdate.Departed(
                            new Tombstone(
                                    readName(reader, "node"),
                                    readIncarnation(reader),
                                    readVersion(reader),
                                    readName(reader, "peerAddress"),
                                    readName(reader, "region").intern(),
                                    readName(reader, "availabilityZone").intern()));
            case SUSPECTED ->
                    new MembershipUpdate.Suspected(
                            readName(reader, "node"), readIncarnation(reader), readVersion(reader));
        };
    }

    private static long readIncarnation(MessageReader reader) throws MessageFormatException {
        return reader.readLong("incarnation", Long.MIN_VALUE, Long.MAX_VALUE);
    }

    private static long readVersion(MessageReader reader) throws MessageFormatException {
        return reader.readLong("version", 0, Long.MAX_VALUE);
    }

    private static String readName(MessageReader reader, String field)
            throws MessageFormatException {
        return reader.readString(field, MAXIMUM_NAME_BYTES);
    }

    /** Kinds on the wire; the order is part of the protocol. */
    private enum Kind {
        PRESENT,
        DEPARTED,
        SUSPECTED
    }
}
