/** Benchmarks that run the decision logic against simulated servers. */
package org.arbutuslock.testbed.bench;
