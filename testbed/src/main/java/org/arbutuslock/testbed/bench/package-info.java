/** Measurements of costs, and their extrapolation to the size that the design is for. */
package org.arbutuslock.testbed.bench;
