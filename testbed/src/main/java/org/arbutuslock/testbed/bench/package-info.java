<<<<<<< HEAD
/** Benchmarks and simulations with bounds. */
=======
/** Measurements of size and speed that check the bounds of the design page. */
>>>>>>> configuration
package org.arbutuslock.testbed.bench;
