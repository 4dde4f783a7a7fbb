package org.arbutuslock.internal.routing;

import java.util.Map;
import org.arbutuslock.api.RouteDefinition;

/** Whether the same requests match two routes. */
public enum RouteOverlap {
    /** No request matches both routes, or precedence decides between them. */
    NONE,
    /** Some requests match both routes, and precedence does not decide between them. */
    AMBIGUOUS,
    /** Both routes match exactly the same requests. */
    DUPLICATE;

    /**
     * Compares two routes.
     *
     * @param one first route
     * @param other second route
     * @return whether the same requests match them
     */
    public static RouteOverlap between(RouteDefinition one, RouteDefinition other) {
        if (!haveSameLocation(one, other) || !one.method().equals(other.method())) {
            return NONE;
        }
        if (one.headers().equals(other.headers())) {
            return DUPLICATE;
        }
        boolean sameCount = one.headers().size() == other.headers().size();
        return sameCount && areCompatible(one.headers(), other.headers()) ? AMBIGUOUS : NONE;
    }

    private static boolean haveSameLocation(RouteDefinition one, RouteDefinition other) {
        return one.host().equals(other.host())
                && one.prefix() == other.prefix()
                && one.path().equals(other.path());
    }

    /** Returns whether one request can have both sets of headers: no header may need two values. */
    private static boolean areCompatible(Map<String, String> one, Map<String, String> other) {
        for (Map.Entry<String, String> header : one.entrySet()) {
            String required = other.get(header.getKey());
            if (required != null && !required.equals(header.getValue())) {
                return false;
            }
        }
        return true;
    }
}
