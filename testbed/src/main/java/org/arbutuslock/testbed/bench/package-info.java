/** Benchmarks that compare measured figures with the bounds of the design document. */
package org.arbutuslock.testbed.bench;
