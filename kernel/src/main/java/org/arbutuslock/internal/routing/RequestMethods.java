package org.arbutuslock.internal.routing;

import java.util.Set;
import org.arbutuslock.api.RouteDefinition;

/** Knows the standard request methods and decides whether a request is idempotent. */
public final class RequestMethods {
    /** Methods of RFC 9110 and RFC 5789. Method names are case-sensitive. */
    private static final Set<String> KNOWN =
            Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT");

    private RequestMethods() {}

    /**
     * Tells whether a method is a standard one.
     *
     * @param method method of a request
     * @return true when its meaning is known
     */
    public static boolean isKnown(String method) {
        return KNOWN.contains(method);
    }

    /**
     * Decides whether a request may be executed more than once. The route must say so, and the
     * method must be a known one.
     *
     * @param route route that the request matched
     * @param method method of the request
     * @return true when a retry is safe
     */
    public static boolean isIdempotent(RouteDefinition route, String method) {
        return route.idempotent() && isKnown(method);
    }
}
