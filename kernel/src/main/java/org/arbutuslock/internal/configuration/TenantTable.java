package org.arbutuslock.internal.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.agrona.collections.Hashing;
import org.arbutuslock.api.TenantDefinition;

/**
 * Immutable table of all tenants in a compact form. The hash of a tenant's name selects one of
 * 16,384 packed shards ({@link TenantShard}) in a two-level directory. A change copies one shard
 * and two arrays of 128 references.
 *
 * <pre>{@code
 * TenantTable table = TenantTable.EMPTY.with(new TenantDefinition("team-7", 2));
 * Optional<TenantDefinition> tenant = table.find("team-7");
 * }</pre>
 */
final class TenantTable {
    /**
     * Entries of an array at each level of the directory. With 910,000 tenants, a shard has 56
     * entries, which are about 900 bytes to search or copy.
     */
    private static final int FANOUT = 128;

    private static final int FANOUT_BITS = 7;
    private static final int INDEX_MASK = FANOUT - 1;
    private static final int SHARD_MASK = FANOUT * FANOUT - 1;
    private static final byte[] EMPTY_SHARD = {};

    /** A table without tenants. */
    static final TenantTable EMPTY = new TenantTable(new byte[FANOUT][][], 0);

    private final byte[][][] mDirectory;
    private final int mCount;

    private TenantTable(byte[][][] directory, int count) {
        mDirectory = directory;
        mCount = count;
    }

    int count() {
        return mCount;
    }

    Optional<TenantDefinition> find(String name) {
        byte[] key = encode(name);
        byte[] shard = shard(shardIndex(name));
        int offset = TenantShard.find(shard, key);
        return offset < 0
                ? Optional.empty()
                : Optional.of(new TenantDefinition(name, TenantShard.weightAt(shard, offset)));
    }

    TenantTable with(TenantDefinition tenant) {
        byte[] key = encode(tenant.name());
        int index = shardIndex(tenant.name());
        byte[] shard = shard(index);
        int offset = TenantShard.find(shard, key);
        return offset >= 0
                ? replace(index, TenantShard.replaceWeight(shard, offset, tenant.weight()), 0)
                : replace(index, TenantShard.insert(shard, ~offset, key, tenant.weight()), 1);
    }

    TenantTable without(String name) {
        int index = shardIndex(name);
        byte[] shard = shard(index);
        int offset = TenantShard.find(shard, encode(name));
        return offset < 0 ? this : replace(index, TenantShard.remove(shard, offset), -1);
    }

    /** Visits all tenants in an order that depends only on the set of tenants. */
    void forEach(Consumer<TenantDefinition> consumer) {
        for (int index = 0; index < FANOUT * FANOUT; index++) {
            TenantShard.forEach(shard(index), consumer);
        }
    }

    private TenantTable replace(int index, byte[] shard, int added) {
        byte[][][] directory = mDirectory.clone();
        byte[][] row = directory[index >>> FANOUT_BITS];
        byte[][] changedRow = row == null ? new byte[FANOUT][] : row.clone();
        changedRow[index & INDEX_MASK] = shard.length == 0 ? null : shard;
        directory[index >>> FANOUT_BITS] = changedRow;
        return new TenantTable(directory, mCount + added);
    }

    private byte[] shard(int index) {
        byte[][] row = mDirectory[index >>> FANOUT_BITS];
        byte[] shard = row == null ? null : row[index & INDEX_MASK];
        return shard == null ? EMPTY_SHARD : shard;
    }

    /** Builds a table from many tenants without copying the directory for each one. */
    static final class Builder {
        private final byte[][][] mDirectory = new byte[FANOUT][][];
        private int mCount;

        void add(TenantDefinition tenant) {
            byte[] key = encode(tenant.name());
            int index = shardIndex(tenant.name());
            byte[][] row = mDirectory[index >>> FANOUT_BITS];
            if (row == null) {
                row = new byte[FANOUT][];
                mDirectory[index >>> FANOUT_BITS] = row;
            }
            int column = index & INDEX_MASK;
            byte[] shard = row[column] == null ? EMPTY_SHARD : row[column];
            int offset = TenantShard.find(shard, key);
            if (offset >= 0) {
                row[column] = TenantShard.replaceWeight(shard, offset, tenant.weight());
            } else {
                row[column] = TenantShard.insert(shard, ~offset, key, tenant.weight());
                mCount++;
            }
        }

        int count() {
            return mCount;
        }

        /** Returns the table; the builder must not be used afterwards. */
        TenantTable build() {
            return new TenantTable(mDirectory, mCount);
        }
    }

    private static byte[] encode(String name) {
        return name.getBytes(StandardCharsets.UTF_8);
    }

    private static int shardIndex(String name) {
        // Mixed because String.hashCode leaves the upper bits of short names nearly constant.
        int mixed = Hashing.hash(name.hashCode());
        return mixed & SHARD_MASK;
    }
}
