/** Starts local fleets of nodes with simulated backend servers and an in-memory store. */
package org.arbutuslock.testbed.fleet;
