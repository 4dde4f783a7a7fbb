package org.arbutuslock.testbed.bench;

/**
 * Disturbance that affects all servers of a group at the same time.
 *
 * @param slowness factor by which all service times are multiplied; 1 means no disturbance
 * @param errorShare share of all requests that fail, 0 to 1
 */
record GroupCondition(double slowness, double errorShare) {}
