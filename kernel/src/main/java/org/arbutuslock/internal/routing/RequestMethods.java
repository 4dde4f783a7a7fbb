package org.arbutuslock.internal.routing;

import java.util.Set;
import org.arbutuslock.api.RouteDefinition;

/** Recognizes standard HTTP methods and decides whether a request may be retried. */
public final class RequestMethods {
    /** Methods of RFC 9110 and RFC 5789. HTTP method names are case-sensitive. */
    private static final Set<String> KNOWN =
            Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT");

    private RequestMethods() {}

    /**
     * Returns whether a method is a standard HTTP method.
     *
     * @param method method of a request
     * @return true when the method is defined by RFC 9110 or RFC 5789
     */
    public static boolean isKnown(String method) {
        return KNOWN.contains(method);
    }

    /**
     * Returns whether a request may be executed more than once: its route must be configured as
     * idempotent, and its method must be a standard one.
     *
     * @param route route that the request matched
     * @param method method of the request
     * @return true when a retry is safe
     */
    public static boolean isIdempotent(RouteDefinition route, String method) {
        return route.idempotent() && isKnown(method);
    }
}
