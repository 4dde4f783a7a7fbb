package org.arbutuslock.internal.routing;

import java.util.ArrayList;
import java.util.List;
import org.arbutuslock.api.RouteDefinition;

/**
 * Immutable map from host and path to routes. Routes are spread by the hash of host and path over
 * 65,536 chains in a two-level directory; a change copies one chain and three arrays of 256
 * elements.
 *
 * <p>A lookup reads hot arrays, then one chain, which holds one route on average at the design
 * size. A general persistent hash trie spent most of the time of a match at 70,000 routes on cache
 * misses in its levels: the cost was 4.7 times that at 70 routes.
 */
final class RouteIndex {
    private static final int FANOUT = 256;
    private static final int FANOUT_BITS = 8;
    private static final int MASK = FANOUT - 1;

    /** Bits of the hash that choose the bit of a filter; the lower ones choose the chain. */
    private static final int FILTER_SHIFT = 2 * FANOUT_BITS;

    private static final int FILTER_BITS_MASK = Character.SIZE - 1;

    static final RouteIndex EMPTY = new RouteIndex(new Row[FANOUT]);

    private final Row[] mDirectory;

    /**
     * Chains with a filter of 16 bits each, one bit set for each hash in the chain. Most prefixes
     * of a request's path are not in the index; the filter spares them the cache miss of the chain.
     */
    private record Row(RouteEntry[] chains, char[] filters) {
        static final Row EMPTY = new Row(new RouteEntry[FANOUT], new char[FANOUT]);

        Row with(int column, RouteEntry chain) {
            Row changed = new Row(chains.clone(), filters.clone());
            changed.chains[column] = chain;
            changed.filters[column] = 0;
            for (RouteEntry entry = chain; entry != null; entry = entry.next()) {
                changed.filters[column] |= filterOf(entry.hash());
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

    /** Returns the first entry that can have a key with the given hash, or null. */
    RouteEntry chainAt(int hash) {
        Row row = mDirectory[rowOf(hash)];
        int column = columnOf(hash);
        boolean possible = row != null && (row.filters[column] & Row.filterOf(hash)) != 0;
        return possible ? row.chains[column] : null;
    }

    RouteIndex with(byte[] key, RouteDefinition route) {
        int hash = PrefixKeys.hashOf(key);
        List<RouteEntry> entries = entriesWithout(hash, route.name());
        byte[] sharedKey =
                entries.stream()
                        .filter(entry -> entry.hasKey(hash, key, key.length))
                        .findFirst()
                        .map(RouteEntry::key)
                        .orElse(key);
        entries.add(RouteEntry.of(hash, sharedKey, route));
        return withChain(hash, RouteEntry.chain(entries));
    }

    RouteIndex without(byte[] key, RouteDefinition route) {
        int hash = PrefixKeys.hashOf(key);
        return withChain(hash, RouteEntry.chain(entriesWithout(hash, route.name())));
    }

    /** Returns the routes with a key and kind of path in the order of precedence. */
    List<RouteDefinition> routesOf(byte[] key, boolean prefix) {
        int hash = PrefixKeys.hashOf(key);
        List<RouteDefinition> routes = new ArrayList<>();
        for (RouteEntry entry = chainAt(hash); entry != null; entry = entry.next()) {
            if (entry.hasKey(hash, key, key.length) && entry.route().prefix() == prefix) {
                routes.add(entry.route());
            }
        }
        return routes;
    }

    /** Reads the whole chain, which other hashes share, without its filter. */
    private List<RouteEntry> entriesWithout(int hash, String name) {
        List<RouteEntry> entries = new ArrayList<>();
        Row row = mDirectory[rowOf(hash)];
        RouteEntry entry = row == null ? null : row.chains[columnOf(hash)];
        while (entry != null) {
            if (!entry.route().name().equals(name)) {
                entries.add(entry);
            }
            entry = entry.next();
        }
        return entries;
    }

    private RouteIndex withChain(int hash, RouteEntry chain) {
        Row[] directory = mDirectory.clone();
        Row row = directory[rowOf(hash)];
        directory[rowOf(hash)] = (row == null ? Row.EMPTY : row).with(columnOf(hash), chain);
        return new RouteIndex(directory);
    }

    private static int rowOf(int hash) {
        return hash >>> FANOUT_BITS & MASK;
    }

    private static int columnOf(int hash) {
        return hash & MASK;
    }
}
