package org.arbutuslock.internal.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.arbutuslock.api.RouteDefinition;

/**
 * Finds the route of a request by host and path segments. Immutable; a change copies a small part
 * of an index, so that neither matching nor a change depends on the number of routes.
 *
 * <p>Precedence: routes of the request's host before routes of any host; then the exact path before
 * prefixes, longer prefixes first; then more headers first; then a method before any method.
 *
 * <pre>{@code
 * RouteTable table = RouteTable.EMPTY.with(route);
 * Optional<RouteDefinition> found = table.match("GET", "shop.example", "/orders/7", headers::get);
 * }</pre>
 */
public final class RouteTable {
    /** A table without routes. */
    public static final RouteTable EMPTY = new RouteTable(RouteIndex.EMPTY);

    /** Most segments of a route's path; bounds the lookups for a request. */
    public static final int MAXIMUM_SEGMENTS = 32;

    /** Most characters of a route's path; bounds the work of a lookup. */
    public static final int MAXIMUM_PATH_CHARACTERS = 512;

    private static final String ANY_HOST = "";
    private static final char SLASH = '/';

    private final RouteIndex mIndex;

    private RouteTable(RouteIndex index) {
        mIndex = index;
    }

    /**
     * Adds a route. A route of the same name must have been removed before.
     *
     * @param route route to add
     * @return a table with the route
     */
    public RouteTable with(RouteDefinition route) {
        return new RouteTable(mIndex.with(route));
    }

    /**
     * Removes a route.
     *
     * @param route route as it was added
     * @return a table without the route
     */
    public RouteTable without(RouteDefinition route) {
        return new RouteTable(mIndex.without(route));
    }

    /**
     * Returns the routes with the host, path and kind of path of a route, itself included.
     *
     * @param route route that names the location
     * @return routes in the order of precedence
     */
    public List<RouteDefinition> routesAtLocationOf(RouteDefinition route) {
        return mIndex.routesAtLocationOf(route);
    }

    /**
     * Finds the route of a request.
     *
     * @param method method as received
     * @param host value of the host header; case and port are ignored
     * @param path request target in origin form; a query is ignored
     * @param headers headers of the request
     * @return the route that takes precedence, or empty when none matches
     */
    public Optional<RouteDefinition> match(
            String method, String host, String path, HeaderAccessor headers) {
        String normalizedHost = normalizeHost(host);
        String pathOnly = normalizePath(path);
        RouteDefinition found = null;
        if (!normalizedHost.isEmpty()) {
            found = matchHost(normalizedHost, method, pathOnly, headers);
        }
        return Optional.ofNullable(
                found != null ? found : matchHost(ANY_HOST, method, pathOnly, headers));
    }

    private RouteDefinition matchHost(
            String host, String method, String path, HeaderAccessor headers) {
        PrefixKeys keys = PrefixKeys.of(host, path);
        for (int index = keys.count() - 1; index >= 0; index--) {
            RouteDefinition found = mIndex.match(keys, index, method, headers);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /** Removes the query. A target without a path, such as {@code *}, matches as the root. */
    private static String normalizePath(String target) {
        if (target.isEmpty() || target.charAt(0) != SLASH) {
            return "/";
        }
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** A host with a slash is not a host name, and could be taken for a host and a path. */
    private static String normalizeHost(String host) {
        if (host.indexOf(SLASH) >= 0) {
            return ANY_HOST;
        }
        int colon = host.startsWith("[") ? -1 : host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
