package org.arbutuslock.api;

/**
 * One part of a split route.
 *
 * @param service name of the service that gets the part
 * @param weight share of the requests relative to the other parts, at least 0
 */
public record WeightedService(String service, int weight) {}
