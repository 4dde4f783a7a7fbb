/** Benchmarks and simulations with bounds. */
package org.arbutuslock.testbed.bench;
