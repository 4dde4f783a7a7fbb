package org.arbutuslock.api;

import java.util.Map;

/**
 * Configuration of one route: the requests that it matches, their service and their handling.
 *
 * @param name unique name of the route: letters, digits and hyphens, 1 to 63 characters
 * @param host host name that the request must have, in lower case, or empty for any
 * @param method method that the request must have, or empty for any
 * @param path path to match, starting with a slash
 * @param prefix true when every path below {@code path} matches too (whole segments only)
 * @param headers header names in lower case and the values that they must have
 * @param service name of the service that gets the request
 * @param workClass class of the work that a request causes
 * @param idempotent true when a request may be executed more than once; false for unknown methods
 * @param deadlineMillis time within which the caller needs the response, in milliseconds, 1 to
 *     3,600,000
 * @param priority priority under overload, 0 (dropped first) to 9 (dropped last)
 * @param policy optional settings of the route
 */
public record RouteDefinition(
        String name,
        String host,
        String method,
        String path,
        boolean prefix,
        Map<String, String> headers,
        String service,
        WorkClass workClass,
        boolean idempotent,
        int deadlineMillis,
        int priority,
        RoutePolicy policy) {
    /**
     * Creates a route with {@link RoutePolicy#DEFAULT}.
     *
     * @param name unique name of the route
     * @param host host name, or empty for any
     * @param method method, or empty for any
     * @param path path to match
     * @param prefix true when every path below {@code path} matches too
     * @param headers header names in lower case and the values that they must have
     * @param service name of the service that gets the request
     * @param workClass class of the work that a request causes
     * @param idempotent true when a request may be executed more than once
     * @param deadlineMillis time within which the caller needs the response, in milliseconds
     * @param priority priority under overload, 0 (dropped first) to 9 (dropped last)
     */
    public RouteDefinition(
            String name,
            String host,
            String method,
            String path,
            boolean prefix,
            Map<String, String> headers,
            String service,
            WorkClass workClass,
            boolean idempotent,
            int deadlineMillis,
            int priority) {
        this(
                name,
                host,
                method,
                path,
                prefix,
                headers,
                service,
                workClass,
                idempotent,
                deadlineMillis,
                priority,
                RoutePolicy.DEFAULT);
    }

    /** Makes an immutable copy of the headers. */
    public RouteDefinition {
        headers = Map.copyOf(headers);
    }

    /**
     * Chooses the service of one request. In a split route, each service is chosen with a
     * probability proportional to its weight.
     *
     * @param draw random number, at least 0 and below 1
     * @return a route with the chosen service; this route when it is not split or all weights are 0
     */
    public RouteDefinition resolve(double draw) {
        long total = 0;
        for (WeightedService part : policy.split()) {
            total += part.weight();
        }
        if (total == 0) {
            return this;
        }
        double left = draw * total;
        for (WeightedService part : policy.split()) {
            left -= part.weight();
            if (left < 0) {
                return withService(part.service());
            }
        }
        return this;
    }

    private RouteDefinition withService(String resolved) {
        return new RouteDefinition(
                name,
                host,
                method,
                path,
                prefix,
                headers,
                resolved,
                workClass,
                idempotent,
                deadlineMillis,
                priority,
                policy);
    }
}
