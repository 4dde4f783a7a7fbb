package org.arbutuslock.api;

import java.util.List;

/**
 * What a route asks for beyond its destination.
 *
 * @param targetMillis time within which a response is worth most to the caller, 1 to 3,600,000
 * @param maximumAttempts most endpoints to which one request is sent, 1 to 16
 * @param split services that share the requests by weight; empty when the route's service gets all
 * @param belowOnly true when a prefix route matches only paths below its own path
 */
public record RoutePolicy(
        int targetMillis, int maximumAttempts, List<WeightedService> split, boolean belowOnly) {
    /** Policy of a route that asks for nothing in particular. */
    public static final RoutePolicy DEFAULT = new RoutePolicy(3_600_000, 4, List.of(), false);

    /** Copies the list so that a policy never changes. */
    public RoutePolicy {
        split = List.copyOf(split);
    }
}
