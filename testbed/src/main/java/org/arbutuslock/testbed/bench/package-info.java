/** Benchmarks with bounds that come from the design page. */
package org.arbutuslock.testbed.bench;
