package org.arbutuslock.internal.routing;

import io.vavr.collection.HashMap;
import java.util.Arrays;
import java.util.Comparator;
import org.arbutuslock.api.RouteDefinition;

/**
 * One path segment of the index of a host. Immutable: a change copies the nodes from the root to
 * the changed one and shares the rest.
 */
final class PathNode {
    private static final RouteDefinition[] NO_ROUTES = {};
    static final PathNode EMPTY = new PathNode(HashMap.empty(), NO_ROUTES, NO_ROUTES);

    /** More headers first, method-specific before any method; the name makes the order total. */
    private static final Comparator<RouteDefinition> PRECEDENCE =
            Comparator.comparingInt((RouteDefinition route) -> -route.headers().size())
                    .thenComparing(route -> route.method().isEmpty())
                    .thenComparing(RouteDefinition::name);

    private final HashMap<String, PathNode> mChildren;
    private final RouteDefinition[] mExactRoutes;
    private final RouteDefinition[] mPrefixRoutes;

    private PathNode(
            HashMap<String, PathNode> children,
            RouteDefinition[] exactRoutes,
            RouteDefinition[] prefixRoutes) {
        mChildren = children;
        mExactRoutes = exactRoutes;
        mPrefixRoutes = prefixRoutes;
    }

    boolean isEmpty() {
        return mChildren.isEmpty() && mExactRoutes.length == 0 && mPrefixRoutes.length == 0;
    }

    PathNode child(String segment) {
        return mChildren.getOrElse(segment, null);
    }

    RouteDefinition[] exactRoutes() {
        return mExactRoutes;
    }

    RouteDefinition[] prefixRoutes() {
        return mPrefixRoutes;
    }

    PathNode with(RouteDefinition route, PathSegments segments) {
        if (!segments.advance()) {
            return withRoutes(route.prefix(), insert(routes(route.prefix()), route));
        }
        String segment = segments.current();
        PathNode child = mChildren.getOrElse(segment, EMPTY).with(route, segments);
        return new PathNode(mChildren.put(segment, child), mExactRoutes, mPrefixRoutes);
    }

    PathNode without(RouteDefinition route, PathSegments segments) {
        if (!segments.advance()) {
            return withRoutes(route.prefix(), remove(routes(route.prefix()), route));
        }
        String segment = segments.current();
        PathNode child = child(segment);
        if (child == null) {
            return this;
        }
        PathNode changed = child.without(route, segments);
        HashMap<String, PathNode> children =
                changed.isEmpty() ? mChildren.remove(segment) : mChildren.put(segment, changed);
        return new PathNode(children, mExactRoutes, mPrefixRoutes);
    }

    RouteDefinition[] routes(boolean prefix) {
        return prefix ? mPrefixRoutes : mExactRoutes;
    }

    private PathNode withRoutes(boolean prefix, RouteDefinition[] routes) {
        return prefix
                ? new PathNode(mChildren, mExactRoutes, routes)
                : new PathNode(mChildren, routes, mPrefixRoutes);
    }

    private static RouteDefinition[] insert(RouteDefinition[] routes, RouteDefinition route) {
        RouteDefinition[] others = remove(routes, route);
        RouteDefinition[] result = Arrays.copyOf(others, others.length + 1);
        result[others.length] = route;
        Arrays.sort(result, PRECEDENCE);
        return result;
    }

    private static RouteDefinition[] remove(RouteDefinition[] routes, RouteDefinition route) {
        RouteDefinition[] others =
                Arrays.stream(routes)
                        .filter(other -> !other.name().equals(route.name()))
                        .toArray(RouteDefinition[]::new);
        return others.length == 0 ? NO_ROUTES : others;
    }
}
