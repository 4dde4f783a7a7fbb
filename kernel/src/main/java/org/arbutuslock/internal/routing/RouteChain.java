package org.arbutuslock.internal.routing;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.RouteDefinition;

/**
 * Routes in the same hash bucket of the index, in the order of precedence. The values that a match
 * compares are packed into one byte array, so that a match takes two dependent cache misses instead
 * of one or two for each route. Entry of a route: hash (4 bytes), key length (2), match kind (1),
 * method length (1), method, key.
 *
 * @param packed one entry for each route, without gaps
 * @param routes routes in the order of the entries
 */
record RouteChain(byte[] packed, RouteDefinition[] routes) {
    static final RouteChain EMPTY = new RouteChain(new byte[0], new RouteDefinition[0]);

    private static final VarHandle INT =
            MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.nativeOrder());
    private static final VarHandle CHAR =
            MethodHandles.byteArrayViewVarHandle(char[].class, ByteOrder.nativeOrder());
    private static final int KEY_LENGTH_OFFSET = 4;
    private static final int MATCH_KIND_OFFSET = 6;
    private static final int METHOD_LENGTH_OFFSET = 7;
    private static final int HEADER_BYTES = 8;
    private static final int EXACT = 0;
    private static final int EXACT_OR_BELOW = 1;
    private static final int BELOW = 2;

    /**
     * Exact paths before prefixes, then routes with more headers first, then routes with a method
     * before routes for any method. The name breaks ties. Routes with different keys may be in any
     * order, since no request matches both under one key.
     */
    private static final Comparator<RouteDefinition> PRECEDENCE =
            Comparator.comparing(RouteDefinition::prefix)
                    .thenComparing(route -> -route.headers().size())
                    .thenComparing(route -> route.method().isEmpty())
                    .thenComparing(RouteDefinition::name);

    static RouteChain of(List<RouteDefinition> routes) {
        RouteDefinition[] sorted = routes.toArray(RouteDefinition[]::new);
        Arrays.sort(sorted, PRECEDENCE);
        byte[][] entries = new byte[sorted.length][];
        int length = 0;
        for (int index = 0; index < sorted.length; index++) {
            entries[index] = pack(sorted[index]);
            length += entries[index].length;
        }
        byte[] packed = new byte[length];
        int offset = 0;
        for (byte[] entry : entries) {
            System.arraycopy(entry, 0, packed, offset, entry.length);
            offset += entry.length;
        }
        return new RouteChain(packed, sorted);
    }

    private static byte[] pack(RouteDefinition route) {
        byte[] key = PrefixKeys.keyOf(route);
        byte[] method = route.method().getBytes(StandardCharsets.UTF_8);
        byte[] entry = new byte[HEADER_BYTES + method.length + key.length];
        INT.set(entry, 0, PrefixKeys.hashOf(key));
        CHAR.set(entry, KEY_LENGTH_OFFSET, (char) key.length);
        entry[MATCH_KIND_OFFSET] = (byte) matchKind(route);
        entry[METHOD_LENGTH_OFFSET] = (byte) method.length;
        System.arraycopy(method, 0, entry, HEADER_BYTES, method.length);
        System.arraycopy(key, 0, entry, HEADER_BYTES + method.length, key.length);
        return entry;
    }

    /** Returns the first route of a chain that matches a request under one of its keys, or null. */
    static RouteDefinition match(
            byte[] packed,
            RouteDefinition[] routes,
            PrefixKeys keys,
            int key,
            String method,
            HeaderAccessor headers) {
        int offset = 0;
        for (int index = 0; offset < packed.length; index++) {
            int methodEnd = offset + HEADER_BYTES + packed[offset + METHOD_LENGTH_OFFSET];
            int end = methodEnd + (char) CHAR.get(packed, offset + KEY_LENGTH_OFFSET);
            if ((int) INT.get(packed, offset) == keys.hash(key)
                    && pathMatches(packed[offset + MATCH_KIND_OFFSET], keys.isWholePath(key))
                    && methodMatches(packed, offset + HEADER_BYTES, methodEnd, method)
                    && Arrays.equals(packed, methodEnd, end, keys.bytes(), 0, keys.end(key))
                    && headersMatch(routes[index].headers(), headers)) {
                return routes[index];
            }
            offset = end;
        }
        return null;
    }

    private static int matchKind(RouteDefinition route) {
        if (!route.prefix()) {
            return EXACT;
        }
        return route.policy().belowOnly() ? BELOW : EXACT_OR_BELOW;
    }

    private static boolean pathMatches(int kind, boolean wholePath) {
        return wholePath ? kind != BELOW : kind != EXACT;
    }

    private static boolean methodMatches(byte[] packed, int start, int end, String method) {
        if (start == end) {
            return true;
        }
        if (method.length() != end - start) {
            return false;
        }
        for (int index = start; index < end; index++) {
            if (packed[index] != method.charAt(index - start)) {
                return false;
            }
        }
        return true;
    }

    private static boolean headersMatch(Map<String, String> required, HeaderAccessor headers) {
        if (required.isEmpty()) {
            return true;
        }
        for (Map.Entry<String, String> header : required.entrySet()) {
            if (!header.getValue().equals(headers.firstValue(header.getKey()))) {
                return false;
            }
        }
        return true;
    }
}
