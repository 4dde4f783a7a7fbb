package org.arbutuslock.testbed.bench;

/**
 * What all servers of a group are exposed to at a time.
 *
 * @param slowness factor of all service times
 * @param errorShare share of all requests that fail
 */
record GroupCondition(double slowness, double errorShare) {}
