package org.arbutuslock.internal.routing;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.agrona.collections.Hashing;
import org.arbutuslock.api.RouteDefinition;

/**
 * Index keys that a request can match: the host followed by each prefix of the path that ends at a
 * segment boundary, from {@code /} to the whole path. All keys share one byte array and are hashed
 * with CRC-32C in one pass.
 */
final class PrefixKeys {
    private static final byte SLASH = '/';

    /** One key for each segment, and one for the path {@code /}. */
    private static final int MAXIMUM_KEYS = RouteTable.MAXIMUM_SEGMENTS + 1;

    private final CRC32C mChecksum = new CRC32C();
    private final byte[] mBytes;
    private final int mPathStart;
    private final int[] mEnds = new int[MAXIMUM_KEYS];
    private final int[] mHashes = new int[MAXIMUM_KEYS];
    private int mCount;

    private PrefixKeys(byte[] bytes, int pathStart) {
        mBytes = bytes;
        mPathStart = pathStart;
    }

    /**
     * Computes the keys of a request. The path must start with a slash; the host must have none.
     */
    static PrefixKeys of(String host, String path) {
        byte[] bytes = host.concat(path).getBytes(StandardCharsets.UTF_8);
        int pathStart = indexOfSlash(bytes, 0, bytes.length);
        PrefixKeys keys = new PrefixKeys(bytes, pathStart);
        keys.split();
        return keys;
    }

    /**
     * Returns the key of a route: its host followed by its path. The key is unambiguous, because a
     * host contains no slash and a path starts with one.
     */
    static byte[] keyOf(RouteDefinition route) {
        return route.host().concat(route.path()).getBytes(StandardCharsets.UTF_8);
    }

    static int hashOf(byte[] key) {
        CRC32C checksum = new CRC32C();
        checksum.update(key, 0, key.length);
        return mix(checksum);
    }

    int count() {
        return mCount;
    }

    byte[] bytes() {
        return mBytes;
    }

    int end(int index) {
        return mEnds[index];
    }

    int hash(int index) {
        return mHashes[index];
    }

    boolean isWholePath(int index) {
        return mEnds[index] == mBytes.length;
    }

    private void split() {
        int limit = Math.min(mBytes.length, mPathStart + RouteTable.MAXIMUM_PATH_CHARACTERS);
        add(0, mPathStart + 1);
        int previous = mPathStart + 1;
        int start = mPathStart + 1;
        while (start < mBytes.length && mCount < MAXIMUM_KEYS) {
            int end = indexOfSlash(mBytes, start, mBytes.length);
            if (end > limit) {
                return;
            }
            if (end > previous) {
                add(previous, end);
                previous = end;
            }
            start = end + 1;
        }
        boolean endsWithSlash = mBytes[mBytes.length - 1] == SLASH;
        if (endsWithSlash && previous < mBytes.length && mBytes.length <= limit) {
            addLast(previous);
        }
    }

    private void addLast(int previous) {
        if (mCount < MAXIMUM_KEYS) {
            add(previous, mBytes.length);
        }
    }

    private void add(int previous, int end) {
        mChecksum.update(mBytes, previous, end - previous);
        mEnds[mCount] = end;
        mHashes[mCount] = mix(mChecksum);
        mCount++;
    }

    private static int mix(CRC32C checksum) {
        return Hashing.hash((int) checksum.getValue());
    }

    private static int indexOfSlash(byte[] bytes, int start, int end) {
        int index = start;
        while (index < end && bytes[index] != SLASH) {
            index++;
        }
        return index;
    }
}
