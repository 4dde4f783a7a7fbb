package org.arbutuslock.internal.routing;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.arbutuslock.api.RouteDefinition;

/**
 * Finds the route of a request by host and path segments. Immutable; a change copies a small part
 * of an index, so that the cost of a match or a change does not depend on the number of routes.
 *
 * <p>Precedence: routes for the request's host before routes for any host; then an exact path
 * before prefixes, longer prefixes first; then routes with more headers first; then routes with a
 * method before routes for any method.
 *
 * <pre>{@code
 * RouteTable table = RouteTable.EMPTY.with(route);
 * Optional<RouteDefinition> found = table.match("GET", "shop.example", "/orders/7", headers::get);
 * }</pre>
 */
public final class RouteTable {
    /** A table without routes. */
    public static final RouteTable EMPTY = new RouteTable(RouteIndex.EMPTY);

    /** Maximum number of segments in a route's path; bounds the lookups for a request. */
    public static final int MAXIMUM_SEGMENTS = 32;

    /** Maximum number of characters in a route's path; bounds the cost of a lookup. */
    public static final int MAXIMUM_PATH_CHARACTERS = 512;

    private static final String ANY_HOST = "";
    private static final char SLASH = '/';

    private final RouteIndex mIndex;

    private RouteTable(RouteIndex index) {
        mIndex = index;
    }

    /**
     * Adds a route. A route with the same name must be removed first.
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
     * @param route the route exactly as it was added
     * @return a table without the route
     */
    public RouteTable without(RouteDefinition route) {
        return new RouteTable(mIndex.without(route));
    }

    /**
     * Returns the routes with the same host, path and match kind (exact or prefix) as a route,
     * including the route itself if the table has it.
     *
     * @param route route whose host, path and match kind are compared
     * @return routes in the order of precedence
     */
    public List<RouteDefinition> routesAtLocationOf(RouteDefinition route) {
        return mIndex.routesAtLocationOf(route);
    }

    /**
     * Finds the route of a request.
     *
     * @param method HTTP method as received; case-sensitive
     * @param host value of the host header; case and port are ignored
     * @param path request target in origin form; a query is ignored
     * @param headers headers of the request
     * @return the matching route with the highest precedence, or empty when none matches
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

    /** Removes the query. A target without a path, such as {@code *}, is matched as {@code /}. */
    private static String normalizePath(String target) {
        if (target.isEmpty() || target.charAt(0) != SLASH) {
            return "/";
        }
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /**
     * Returns the host name in lower case without the port. A host with a slash is invalid and is
     * treated as absent, since in an index key it could be read as a host and a path.
     */
    private static String normalizeHost(String host) {
        if (host.indexOf(SLASH) >= 0) {
            return ANY_HOST;
        }
        int colon = host.startsWith("[") ? -1 : host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
