/** Measurements of size and speed that check the bounds of the design page. */
package org.arbutuslock.testbed.bench;
