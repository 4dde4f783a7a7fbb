package org.arbutuslock.internal.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import org.arbutuslock.api.TenantDefinition;

/**
 * Operations on tenants that are packed into one byte array, sorted by name. An entry consists of
 * the length of the name (one byte), the weight (one byte) and the name in UTF-8. An entry takes
 * two bytes more than its name; separate objects would take over 100 bytes per tenant.
 */
final class TenantShard {
    private static final int HEADER_BYTES = 2;
    private static final int BYTE_MASK = 0xff;

    private TenantShard() {}

    /** Returns the offset of the entry, or the complement of the offset to insert it at. */
    static int find(byte[] shard, byte[] name) {
        int offset = 0;
        while (offset < shard.length) {
            int nameStart = offset + HEADER_BYTES;
            int nameEnd = nameStart + (shard[offset] & BYTE_MASK);
            int order = Arrays.compareUnsigned(shard, nameStart, nameEnd, name, 0, name.length);
            if (order == 0) {
                return offset;
            }
            if (order > 0) {
                return ~offset;
            }
            offset = nameEnd;
        }
        return ~offset;
    }

    static int weightAt(byte[] shard, int offset) {
        return shard[offset + 1] & BYTE_MASK;
    }

    static byte[] insert(byte[] shard, int offset, byte[] name, int weight) {
        int added = HEADER_BYTES + name.length;
        byte[] result = new byte[shard.length + added];
        System.arraycopy(shard, 0, result, 0, offset);
        result[offset] = (byte) name.length;
        result[offset + 1] = (byte) weight;
        System.arraycopy(name, 0, result, offset + HEADER_BYTES, name.length);
        System.arraycopy(shard, offset, result, offset + added, shard.length - offset);
        return result;
    }

    static byte[] replaceWeight(byte[] shard, int offset, int weight) {
        byte[] result = shard.clone();
        result[offset + 1] = (byte) weight;
        return result;
    }

    static byte[] remove(byte[] shard, int offset) {
        int removed = HEADER_BYTES + (shard[offset] & BYTE_MASK);
        byte[] result = new byte[shard.length - removed];
        System.arraycopy(shard, 0, result, 0, offset);
        System.arraycopy(shard, offset + removed, result, offset, result.length - offset);
        return result;
    }

    static void forEach(byte[] shard, Consumer<TenantDefinition> consumer) {
        int offset = 0;
        while (offset < shard.length) {
            int length = shard[offset] & BYTE_MASK;
            String name = new String(shard, offset + HEADER_BYTES, length, StandardCharsets.UTF_8);
            consumer.accept(new TenantDefinition(name, weightAt(shard, offset)));
            offset += HEADER_BYTES + length;
        }
    }
}
