package org.arbutuslock.internal.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.arbutuslock.api.RouteDefinition;

/**
 * Immutable hash index from host and path to routes. The hash of host and path selects one of
 * 65,536 chains in a two-level directory. A change copies one chain and four arrays of 256
 * elements.
 *
 * <p>A lookup reads arrays that usually are in the CPU cache, then one chain, which holds one route
 * on average at the largest intended number of routes. A persistent hash trie would be slower: at
 * 70,000 routes a match took 4.7 times as long as at 70 routes, mostly because of cache misses in
 * the levels of the trie.
 */
final class RouteIndex {
    private static final int FANOUT = 256;
    private static final int FANOUT_BITS = 8;
    private static final int MASK = FANOUT - 1;

    /** Hash bits from this position on select the bit of a filter; lower bits select the chain. */
    private static final int FILTER_SHIFT = 2 * FANOUT_BITS;

    private static final int FILTER_BITS_MASK = Character.SIZE - 1;

    static final RouteIndex EMPTY = new RouteIndex(new Row[FANOUT]);

    private final Row[] mDirectory;

    /**
     * Chains with a 16-bit Bloom filter each, in which each hash of the chain sets one bit. Most
     * prefixes of a request's path are not in the index; the filter avoids the cache miss of
     * reading a chain for them.
     */
    private record Row(byte[][] packed, RouteDefinition[][] routes, char[] filters) {
        static final Row EMPTY =
                new Row(new byte[FANOUT][], new RouteDefinition[FANOUT][], new char[FANOUT]);

        RouteDefinition[] routesAt(int column) {
            return routes[column] == null ? RouteChain.EMPTY.routes() : routes[column];
        }

        Row with(int column, RouteChain chain) {
            Row changed = new Row(packed.clone(), routes.clone(), filters.clone());
            boolean empty = chain.routes().length == 0;
            changed.packed[column] = empty ? null : chain.packed();
            changed.routes[column] = empty ? null : chain.routes();
            changed.filters[column] = 0;
            for (RouteDefinition route : chain.routes()) {
                changed.filters[column] |= filterOf(PrefixKeys.hashOf(PrefixKeys.keyOf(route)));
            }
            return changed;
        }

        static char filterOf(int hash) {
            return (char) (1 << (hash >>> FILTER_SHIFT & FILTER_BITS_MASK));
        }
    }

    private RouteIndex(Row[] directory) {
        mDirectory = directory;
    }

    /** Returns the first route that matches a request under one of its keys, or null. */
    RouteDefinition match(PrefixKeys keys, int key, String method, HeaderAccessor headers) {
        int hash = keys.hash(key);
        Row row = mDirectory[rowOf(hash)];
        int column = columnOf(hash);
        if (row == null || (row.filters[column] & Row.filterOf(hash)) == 0) {
            return null;
        }
        return RouteChain.match(row.packed[column], row.routes[column], keys, key, method, headers);
    }

    RouteIndex with(RouteDefinition route) {
        int hash = hashOf(route);
        List<RouteDefinition> routes = routesWithout(hash, route.name());
        routes.add(route);
        return withChain(hash, RouteChain.of(routes));
    }

    RouteIndex without(RouteDefinition route) {
        int hash = hashOf(route);
        return withChain(hash, RouteChain.of(routesWithout(hash, route.name())));
    }

    /** Returns the routes with the same host, path and match kind (exact or prefix) as a route. */
    List<RouteDefinition> routesAtLocationOf(RouteDefinition route) {
        return Arrays.stream(chainAt(hashOf(route)))
                .filter(other -> other.host().equals(route.host()))
                .filter(other -> other.path().equals(route.path()))
                .filter(other -> other.prefix() == route.prefix())
                .toList();
    }

    private RouteDefinition[] chainAt(int hash) {
        Row row = mDirectory[rowOf(hash)];
        return (row == null ? Row.EMPTY : row).routesAt(columnOf(hash));
    }

    private List<RouteDefinition> routesWithout(int hash, String name) {
        List<RouteDefinition> routes = new ArrayList<>(List.of(chainAt(hash)));
        routes.removeIf(route -> route.name().equals(name));
        return routes;
    }

    private RouteIndex withChain(int hash, RouteChain chain) {
        Row[] directory = mDirectory.clone();
        Row row = directory[rowOf(hash)];
        directory[rowOf(hash)] = (row == null ? Row.EMPTY : row).with(columnOf(hash), chain);
        return new RouteIndex(directory);
    }

    private static int hashOf(RouteDefinition route) {
        return PrefixKeys.hashOf(PrefixKeys.keyOf(route));
    }

    private static int rowOf(int hash) {
        return hash >>> FANOUT_BITS & MASK;
    }

    private static int columnOf(int hash) {
        return hash & MASK;
    }
}
