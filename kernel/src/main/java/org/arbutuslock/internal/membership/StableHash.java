package org.arbutuslock.internal.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hashes that are the same on every node and every release of the Java runtime. */
public final class StableHash {
    private static final int STAMP_BYTES = 3 * Long.BYTES;

    private StableHash() {}

    /**
     * Hashes a name.
     *
     * @param name the name
     * @return at least two independent numbers
     */
    public static ByteBuffer ofName(String name) {
        return ByteBuffer.wrap(digest(name.getBytes(StandardCharsets.UTF_8)));
    }

    /** Hashes the state of one record. */
    static long ofStamp(long key, long incarnation, long version) {
        byte[] stamp =
                ByteBuffer.allocate(STAMP_BYTES)
                        .putLong(key)
                        .putLong(incarnation)
                        .putLong(version)
                        .array();
        return ByteBuffer.wrap(digest(stamp)).getLong();
    }

    private static byte[] digest(byte[] input) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(input);
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java runtime has SHA-256", impossible);
        }
    }
}
