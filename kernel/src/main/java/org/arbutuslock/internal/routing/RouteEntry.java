package org.arbutuslock.internal.routing;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.arbutuslock.api.RouteDefinition;

/**
 * A route in a chain of the index. It repeats what matching reads, so that routes that do not match
 * are passed over without a further cache miss each.
 */
final class RouteEntry {
    /**
     * Exact path first, then more headers first, then a method before any method; the name makes
     * the order total. The order between different keys does not matter.
     */
    private static final Comparator<RouteDefinition> PRECEDENCE =
            Comparator.comparing(RouteDefinition::prefix)
                    .thenComparing(route -> -route.headers().size())
                    .thenComparing(route -> route.method().isEmpty())
                    .thenComparing(RouteDefinition::name);

    private final int mHash;
    private final boolean mPrefix;
    private final byte[] mKey;
    private final String mMethod;
    private final Map<String, String> mHeaders;
    private final RouteDefinition mRoute;
    private final RouteEntry mNext;

    private RouteEntry(int hash, byte[] key, RouteDefinition route, RouteEntry next) {
        mHash = hash;
        mKey = key;
        mPrefix = route.prefix();
        mMethod = route.method();
        mHeaders = route.headers();
        mRoute = route;
        mNext = next;
    }

    static RouteEntry of(int hash, byte[] key, RouteDefinition route) {
        return new RouteEntry(hash, key, route, null);
    }

    int hash() {
        return mHash;
    }

    byte[] key() {
        return mKey;
    }

    RouteDefinition route() {
        return mRoute;
    }

    RouteEntry next() {
        return mNext;
    }

    boolean hasKey(int hash, byte[] bytes, int end) {
        return mHash == hash && Arrays.equals(mKey, 0, mKey.length, bytes, 0, end);
    }

    boolean matches(boolean wholePath, String method, HeaderAccessor headers) {
        boolean methodMatches = mMethod.isEmpty() || mMethod.equals(method);
        return methodMatches && (mPrefix || wholePath) && headersMatch(headers);
    }

    private boolean headersMatch(HeaderAccessor headers) {
        if (mHeaders.isEmpty()) {
            return true;
        }
        for (Map.Entry<String, String> header : mHeaders.entrySet()) {
            if (!header.getValue().equals(headers.firstValue(header.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /** Links entries in the order of precedence; returns the first, or null for none. */
    static RouteEntry chain(List<RouteEntry> entries) {
        List<RouteEntry> sorted =
                entries.stream()
                        .sorted(Comparator.comparing(RouteEntry::route, PRECEDENCE.reversed()))
                        .toList();
        RouteEntry next = null;
        for (RouteEntry entry : sorted) {
            next = new RouteEntry(entry.mHash, entry.mKey, entry.mRoute, next);
        }
        return next;
    }
}
