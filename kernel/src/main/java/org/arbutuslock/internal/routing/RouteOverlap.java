package org.arbutuslock.internal.routing;

import java.util.Map;
import org.arbutuslock.api.RouteDefinition;

/** How the matches of two routes relate. */
public enum RouteOverlap {
    /** No request matches both, or the order of precedence decides between them. */
    NONE,
    /** Some requests match both and nothing decides between them. */
    AMBIGUOUS,
    /** Both match exactly the same requests. */
    DUPLICATE;

    /**
     * Compares the matches of two routes.
     *
     * @param one a route
     * @param other another route
     * @return how their matches relate
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

    /** One request can satisfy both sets unless they require different values of a header. */
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
