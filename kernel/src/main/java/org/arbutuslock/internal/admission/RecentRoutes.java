package org.arbutuslock.internal.admission;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What is known about the routes that were used last. Confined to one thread.
 *
 * @param <V> type of what is known about a route
 */
final class RecentRoutes<V> {
    private static final int MAXIMUM_ROUTES = 256;
    private static final float LOAD_FACTOR = 0.75f;

    private final Supplier<V> mUnknown;
    private final Map<String, V> mRoutes =
            new LinkedHashMap<>(MAXIMUM_ROUTES, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                    return size() > MAXIMUM_ROUTES;
                }
            };

    RecentRoutes(Supplier<V> unknown) {
        mUnknown = unknown;
    }

    Optional<V> find(String route) {
        return Optional.ofNullable(mRoutes.get(route));
    }

    V findOrAdd(String route) {
        return mRoutes.computeIfAbsent(route, name -> mUnknown.get());
    }

    Collection<V> values() {
        return mRoutes.values();
    }

    void clear() {
        mRoutes.clear();
    }
}
