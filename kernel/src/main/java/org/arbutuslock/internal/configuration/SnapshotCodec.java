package org.arbutuslock.internal.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import org.arbutuslock.api.RouteDefinition;
import org.arbutuslock.api.ServiceDefinition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Encodes a whole configuration in parts of limited size. Equal configurations have equal parts, so
 * that several nodes can write the same snapshot. {@link SnapshotAssembler} decodes the parts.
 *
 * <pre>{@code
 * List<byte[]> parts = SnapshotCodec.encode(configuration);
 * }</pre>
 */
public final class SnapshotCodec {
    /**
     * Largest number of parts. A configuration of twice the design size takes about 60 parts in the
     * store and 1,300 parts between nodes.
     */
    public static final int MAXIMUM_PARTS = 3000;

    /** Largest part in a message between nodes, in bytes; keeps the message below 64 KiB. */
    public static final int PEER_PART_BYTES = 63 << 10;

    /**
     * Size above which the body of a part between nodes ends. The rest of {@link #PEER_PART_BYTES}
     * leaves room for the header and one element of the largest size.
     */
    private static final int PEER_BODY_BYTES = 48 << 10;

    static final int FORMAT_VERSION = 1;
    static final int HEADER_FIELDS = 5;
    static final int SERVICE = 1;
    static final int ROUTE = 2;
    static final int TENANT = 3;
    static final int RECENT_CHANGES = 4;

    /** Largest number of change ids in one element. */
    static final int IDS_PER_ELEMENT = 256;

    /**
     * Size above which the body of a part in the store ends. Leaves room for the header and one
     * element of the largest size, a route of about 11 KB.
     */
    private static final int BODY_BYTES = ConfigurationLimits.ENCODED_BYTES - (32 << 10);

    private final List<byte[]> mBodies = new ArrayList<>();
    private final List<Integer> mElementCounts = new ArrayList<>();
    private MessageBufferPacker mPacker = MessagePack.newDefaultBufferPacker();
    private int mElementCount;

    private final int mBodyBytes;

    private SnapshotCodec(int bodyBytes) {
        mBodyBytes = bodyBytes;
    }

    /** Packs the content of one element, which follows its type. */
    private interface ElementPacker {
        void pack(MessageBufferPacker packer) throws IOException;
    }

    /**
     * Encodes a configuration for the store.
     *
     * @param configuration configuration to encode
     * @return parts in order, each below 1 MB
     */
    public static List<byte[]> encode(Configuration configuration) {
        return encode(configuration, BODY_BYTES);
    }

    /**
     * Encodes a configuration for messages between nodes.
     *
     * @param configuration configuration to encode
     * @return parts in order, each at most {@link #PEER_PART_BYTES}
     */
    public static List<byte[]> encodeForPeers(Configuration configuration) {
        return encode(configuration, PEER_BODY_BYTES);
    }

    private static List<byte[]> encode(Configuration configuration, int bodyBytes) {
        SnapshotCodec codec = new SnapshotCodec(bodyBytes);
        codec.addRecentChanges(configuration.recentChanges());
        codec.addServices(configuration);
        codec.addRoutes(configuration);
        configuration.forEachTenant(
                tenant -> codec.add(TENANT, packer -> EntityCodec.pack(packer, tenant)));
        codec.endPart();
        return codec.withHeaders(configuration.revision());
    }

    private void addServices(Configuration configuration) {
        List<ServiceDefinition> services = new ArrayList<>(configuration.serviceCount());
        configuration.forEachService(services::add);
        services.sort(Comparator.comparing(ServiceDefinition::name));
        services.forEach(service -> add(SERVICE, packer -> EntityCodec.pack(packer, service)));
    }

    private void addRoutes(Configuration configuration) {
        List<RouteDefinition> routes = new ArrayList<>(configuration.routeCount());
        configuration.forEachRoute(routes::add);
        routes.sort(Comparator.comparing(RouteDefinition::name));
        routes.forEach(route -> add(ROUTE, packer -> EntityCodec.pack(packer, route)));
    }

    private void addRecentChanges(RecentChanges recent) {
        for (int start = 0; start < recent.count(); start += IDS_PER_ELEMENT) {
            long first = recent.firstRevision() + start;
            int count = Math.min(IDS_PER_ELEMENT, recent.count() - start);
            add(RECENT_CHANGES, packer -> packIds(packer, recent, first, count));
        }
    }

    private static void packIds(
            MessageBufferPacker packer, RecentChanges recent, long first, int count)
            throws IOException {
        packer.packLong(first).packArrayHeader(count * 2);
        for (int index = 0; index < count; index++) {
            UUID id = recent.idOf(first + index);
            packer.packLong(id.getMostSignificantBits()).packLong(id.getLeastSignificantBits());
        }
    }

    private void add(int type, ElementPacker elementPacker) {
        try {
            mPacker.packInt(type);
            elementPacker.pack(mPacker);
        } catch (IOException unexpected) {
            throw new UncheckedIOException(unexpected);
        }
        mElementCount++;
        if (mPacker.getTotalWrittenBytes() > mBodyBytes) {
            endPart();
        }
    }

    private void endPart() {
        mBodies.add(mPacker.toByteArray());
        mElementCounts.add(mElementCount);
        mPacker = MessagePack.newDefaultBufferPacker();
        mElementCount = 0;
    }

    private List<byte[]> withHeaders(long revision) {
        List<byte[]> parts = new ArrayList<>(mBodies.size());
        for (int index = 0; index < mBodies.size(); index++) {
            try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
                packer.packArrayHeader(HEADER_FIELDS)
                        .packInt(FORMAT_VERSION)
                        .packLong(revision)
                        .packInt(index)
                        .packInt(mBodies.size())
                        .packInt(mElementCounts.get(index));
                packer.addPayload(mBodies.get(index));
                parts.add(packer.toByteArray());
            } catch (IOException unexpected) {
                throw new UncheckedIOException(unexpected);
            }
        }
        return parts;
    }
}
