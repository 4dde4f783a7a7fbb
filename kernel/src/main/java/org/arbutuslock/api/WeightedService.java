package org.arbutuslock.api;

/**
 * One service of a split route.
 *
 * @param service name of the service
 * @param weight share of the requests relative to the other services of the route, at least 0
 */
public record WeightedService(String service, int weight) {}
