package org.arbutuslock.internal.configuration;

import io.vavr.collection.HashMap;
import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import org.arbutuslock.internal.routing.RouteTable;

/**
 * Builds a configuration from the parts of one snapshot, which may arrive in any order and more
 * than once. Not thread-safe.
 *
 * <pre>{@code
 * SnapshotAssembler assembler = new SnapshotAssembler();
 * assembler.add(part);
 * assembler.complete().ifPresent(holder::apply);
 * }</pre>
 */
public final class SnapshotAssembler {
    private static final long NO_REVISION = -1;

    private final TenantTable.Builder mTenants = new TenantTable.Builder();
    private final BitSet mReceived = new BitSet();
    private final Map<Long, UUID[]> mRecentChanges = new TreeMap<>();
    private Configuration.Entities mEntities =
            new Configuration.Entities(
                    HashMap.empty(), HashMap.empty(), TenantTable.EMPTY, RouteTable.EMPTY);
    private long mRevision = NO_REVISION;
    private int mPartCount;

    /** Creates an assembler for one snapshot. */
    public SnapshotAssembler() {}

    /**
     * Adds a part.
     *
     * @param part result of {@link SnapshotCodec#encode}
     * @throws MalformedConfigurationException when it cannot be parsed or belongs to another
     *     snapshot; discard the assembler in this case
     */
    public void add(byte[] part) throws MalformedConfigurationException {
        BoundedUnpacker unpacker = new BoundedUnpacker(part);
        unpacker.readArray("part", SnapshotCodec.HEADER_FIELDS, SnapshotCodec.HEADER_FIELDS);
        unpacker.readInt(
                "part.formatVersion", SnapshotCodec.FORMAT_VERSION, SnapshotCodec.FORMAT_VERSION);
        long revision = unpacker.readLong("part.revision", 0, Long.MAX_VALUE);
        int index = unpacker.readInt("part.index", 0, SnapshotCodec.MAXIMUM_PARTS - 1);
        int partCount = unpacker.readInt("part.partCount", index + 1, SnapshotCodec.MAXIMUM_PARTS);
        requireSameSnapshot(unpacker, revision, partCount);
        int elements = unpacker.readInt("part.elements", 0, part.length);
        if (mReceived.get(index)) {
            return;
        }
        for (int element = 0; element < elements; element++) {
            addElement(unpacker);
        }
        unpacker.requireEnd();
        requireCounts(unpacker);
        mReceived.set(index);
    }

    /**
     * Returns the configuration if all parts were added.
     *
     * @return the configuration, or empty while parts are missing
     * @throws MalformedConfigurationException when the parts contradict each other
     */
    public Optional<Configuration> complete() throws MalformedConfigurationException {
        if (mRevision == NO_REVISION || mReceived.cardinality() != mPartCount) {
            return Optional.empty();
        }
        return Optional.of(
                new Configuration(
                        mRevision, mEntities.withTenants(mTenants.build()), recentChanges()));
    }

    private void requireSameSnapshot(BoundedUnpacker unpacker, long revision, int partCount)
            throws MalformedConfigurationException {
        if (mRevision == NO_REVISION) {
            mRevision = revision;
            mPartCount = partCount;
        }
        if (mRevision != revision || mPartCount != partCount) {
            throw unpacker.malformed(
                    "part.revision",
                    revision + " with " + partCount + " parts",
                    mRevision + " with " + mPartCount + " parts");
        }
    }

    private void addElement(BoundedUnpacker unpacker) throws MalformedConfigurationException {
        int type =
                unpacker.readInt(
                        "element.type", SnapshotCodec.SERVICE, SnapshotCodec.RECENT_CHANGES);
        switch (type) {
            case SnapshotCodec.SERVICE ->
                    mEntities = mEntities.withService(EntityCodec.unpackService(unpacker));
            case SnapshotCodec.ROUTE ->
                    mEntities = mEntities.withRoute(EntityCodec.unpackRoute(unpacker));
            case SnapshotCodec.TENANT -> mTenants.add(EntityCodec.unpackTenant(unpacker));
            default -> addRecentChanges(unpacker);
        }
    }

    private void addRecentChanges(BoundedUnpacker unpacker) throws MalformedConfigurationException {
        long first = unpacker.readLong("recentChanges.first", 1, Long.MAX_VALUE);
        int longs = unpacker.readArray("recentChanges.ids", 2, SnapshotCodec.IDS_PER_ELEMENT * 2);
        UUID[] ids = new UUID[longs / 2];
        for (int index = 0; index < ids.length; index++) {
            ids[index] =
                    new UUID(
                            unpacker.readRawLong("recentChanges.id"),
                            unpacker.readRawLong("recentChanges.id"));
        }
        mRecentChanges.put(first, ids);
        if (mRecentChanges.size() * SnapshotCodec.IDS_PER_ELEMENT > RecentChanges.MAXIMUM_CHANGES) {
            throw unpacker.malformed(
                    "recentChanges",
                    mRecentChanges.size() + " elements",
                    "at most " + RecentChanges.MAXIMUM_CHANGES + " ids");
        }
    }

    private void requireCounts(BoundedUnpacker unpacker) throws MalformedConfigurationException {
        requireCount(
                unpacker, "services", mEntities.services().size(), ConfigurationLimits.SERVICES);
        requireCount(unpacker, "routes", mEntities.routes().size(), ConfigurationLimits.ROUTES);
        requireCount(unpacker, "tenants", mTenants.count(), ConfigurationLimits.TENANTS);
    }

    private static void requireCount(BoundedUnpacker unpacker, String field, int count, int maximum)
            throws MalformedConfigurationException {
        if (count > maximum) {
            throw unpacker.malformed(field, Integer.toString(count), "at most " + maximum);
        }
    }

    private RecentChanges recentChanges() throws MalformedConfigurationException {
        long next = mRecentChanges.isEmpty() ? mRevision + 1 : firstRecentRevision();
        RecentChanges recent = RecentChanges.startingAfter(next - 1);
        for (Map.Entry<Long, UUID[]> element : mRecentChanges.entrySet()) {
            requireNext(element.getKey(), next);
            for (UUID id : element.getValue()) {
                recent = recent.append(id);
                next++;
            }
        }
        requireNext(mRevision + 1, next);
        return recent;
    }

    private long firstRecentRevision() {
        return mRecentChanges.keySet().iterator().next();
    }

    private static void requireNext(long actual, long expected)
            throws MalformedConfigurationException {
        if (actual != expected) {
            throw new MalformedConfigurationException(
                    0,
                    "recentChanges",
                    "revision " + actual,
                    "a chain without gaps; expected revision " + expected);
        }
    }
}
