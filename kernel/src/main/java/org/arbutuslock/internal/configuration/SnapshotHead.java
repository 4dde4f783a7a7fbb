package org.arbutuslock.internal.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Entry of the store that refers to the newest snapshot and to the one before it. The parts of the
 * previous snapshot are kept until the next snapshot, so that nodes that are reading them can
 * finish.
 */
record SnapshotHead(long revision, int parts, long previousRevision, int previousParts) {
    /** Stands for a store without a snapshot. */
    static final SnapshotHead NONE = new SnapshotHead(0, 0, 0, 0);

    private static final int FIELDS = 4;

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS)
                    .packLong(revision)
                    .packInt(parts)
                    .packLong(previousRevision)
                    .packInt(previousParts);
            return packer.toByteArray();
        } catch (IOException unexpected) {
            throw new UncheckedIOException(unexpected);
        }
    }

    static SnapshotHead decode(byte[] bytes) throws MalformedConfigurationException {
        BoundedUnpacker unpacker = new BoundedUnpacker(bytes);
        unpacker.readArray("head", FIELDS, FIELDS);
        SnapshotHead head =
                new SnapshotHead(
                        unpacker.readLong("head.revision", 1, Long.MAX_VALUE),
                        unpacker.readInt("head.parts", 1, SnapshotCodec.MAXIMUM_PARTS),
                        unpacker.readLong("head.previousRevision", 0, Long.MAX_VALUE),
                        unpacker.readInt("head.previousParts", 0, SnapshotCodec.MAXIMUM_PARTS));
        unpacker.requireEnd();
        return head;
    }
}
