package org.arbutuslock.internal.routing;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.arbutuslock.api.RouteDefinition;

/**
 * Finds the route of a request by host and path segments. Immutable; a change shares all but the
 * nodes on the path to the changed route, so that neither matching nor a change depends on the
 * number of routes.
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
    public static final RouteTable EMPTY = new RouteTable(HashMap.empty());

    private static final String ANY_HOST = "";

    /** Prefix nodes remembered while walking down a path; longer paths grow the list. */
    private static final int EXPECTED_PREFIXES = 4;

    private final HashMap<String, PathNode> mHosts;

    private RouteTable(HashMap<String, PathNode> hosts) {
        mHosts = hosts;
    }

    /**
     * Adds a route. A route of the same name must have been removed before.
     *
     * @param route route to add
     * @return a table with the route
     */
    public RouteTable with(RouteDefinition route) {
        PathNode root = mHosts.getOrElse(route.host(), PathNode.EMPTY);
        PathNode changed = root.with(route, segmentsOf(route));
        return new RouteTable(mHosts.put(route.host(), changed));
    }

    /**
     * Removes a route.
     *
     * @param route route as it was added
     * @return a table without the route
     */
    public RouteTable without(RouteDefinition route) {
        PathNode root = mHosts.getOrElse(route.host(), null);
        if (root == null) {
            return this;
        }
        PathNode changed = root.without(route, segmentsOf(route));
        return new RouteTable(
                changed.isEmpty()
                        ? mHosts.remove(route.host())
                        : mHosts.put(route.host(), changed));
    }

    /**
     * Returns the routes with the host, path and kind of path of a route, itself included.
     *
     * @param route route that names the location
     * @return routes in the order of precedence
     */
    public List<RouteDefinition> routesAtLocationOf(RouteDefinition route) {
        PathNode node = mHosts.getOrElse(route.host(), null);
        PathSegments segments = segmentsOf(route);
        while (node != null && segments.advance()) {
            node = node.child(segments.current());
        }
        return node == null ? List.of() : List.of(node.routes(route.prefix()));
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
        RouteDefinition found = null;
        if (!normalizedHost.isEmpty()) {
            found = matchHost(normalizedHost, method, path, headers);
        }
        return Optional.ofNullable(
                found != null ? found : matchHost(ANY_HOST, method, path, headers));
    }

    private RouteDefinition matchHost(
            String host, String method, String path, HeaderAccessor headers) {
        PathNode node = mHosts.getOrElse(host, null);
        if (node == null) {
            return null;
        }
        List<PathNode> prefixes = new ArrayList<>(EXPECTED_PREFIXES);
        PathSegments segments = PathSegments.ofRequest(path);
        addIfPrefix(prefixes, node);
        while (segments.advance()) {
            node = node.child(segments.current());
            if (node == null) {
                return matchLongestPrefix(prefixes, method, headers);
            }
            addIfPrefix(prefixes, node);
        }
        RouteDefinition exact = firstMatch(node.exactRoutes(), method, headers);
        return exact != null ? exact : matchLongestPrefix(prefixes, method, headers);
    }

    private static void addIfPrefix(List<PathNode> prefixes, PathNode node) {
        if (node.prefixRoutes().length > 0) {
            prefixes.add(node);
        }
    }

    private static RouteDefinition matchLongestPrefix(
            List<PathNode> prefixes, String method, HeaderAccessor headers) {
        for (int index = prefixes.size() - 1; index >= 0; index--) {
            RouteDefinition found = firstMatch(prefixes.get(index).prefixRoutes(), method, headers);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private static RouteDefinition firstMatch(
            RouteDefinition[] routes, String method, HeaderAccessor headers) {
        for (RouteDefinition route : routes) {
            boolean methodMatches = route.method().isEmpty() || route.method().equals(method);
            if (methodMatches && headersMatch(route.headers(), headers)) {
                return route;
            }
        }
        return null;
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

    private static PathSegments segmentsOf(RouteDefinition route) {
        return PathSegments.ofRoute(route.path(), route.prefix());
    }

    private static String normalizeHost(String host) {
        int colon = host.startsWith("[") ? -1 : host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        return name.toLowerCase(Locale.ROOT);
    }
}
