/** Open-loop load generator that sends HTTP requests to loopback addresses only. */
package org.arbutuslock.testbed.load;
