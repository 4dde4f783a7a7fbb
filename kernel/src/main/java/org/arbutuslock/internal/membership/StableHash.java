package org.arbutuslock.internal.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256 hashes, which are the same on every node and in every Java release. */
public final class StableHash {
    private static final int STAMP_BYTES = 3 * Long.BYTES;

    private StableHash() {}

    /**
     * Hashes the UTF-8 form of a name.
     *
     * @param name name to hash
     * @return a buffer of 32 bytes at position 0, enough for four independent long values
     */
    public static ByteBuffer ofName(String name) {
        return ByteBuffer.wrap(digest(name.getBytes(StandardCharsets.UTF_8)));
    }

    /** Hashes the state of one record: the hash of the node's name, incarnation and version. */
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
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(
                    "this Java runtime does not provide the SHA-256 digest", missing);
        }
    }
}
