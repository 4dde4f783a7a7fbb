package org.arbutuslock.api;

import java.util.List;

/**
 * Optional settings of a route.
 *
 * @param targetMillis response time objective in milliseconds, 1 to 3,600,000; a response is most
 *     useful to the caller within this time
 * @param maximumAttempts maximum number of endpoints to which one request is sent, 1 to 16
 * @param split services that share the requests by weight; when empty, the service of the route
 *     gets all requests
 * @param belowOnly true when a prefix route does not match its own path, only the paths below it
 */
public record RoutePolicy(
        int targetMillis, int maximumAttempts, List<WeightedService> split, boolean belowOnly) {
    /** Policy of a route without optional settings. */
    public static final RoutePolicy DEFAULT = new RoutePolicy(3_600_000, 4, List.of(), false);

    /** Makes an immutable copy of the list. */
    public RoutePolicy {
        split = List.copyOf(split);
    }
}
