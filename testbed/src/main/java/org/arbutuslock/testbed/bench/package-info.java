<<<<<<< HEAD
<<<<<<< HEAD
/** Benchmarks and simulations with bounds. */
=======
/** Measurements of size and speed that check the bounds of the design page. */
>>>>>>> configuration
=======
/** Benchmarks that run the decision logic against simulated servers. */
>>>>>>> ejection
package org.arbutuslock.testbed.bench;
