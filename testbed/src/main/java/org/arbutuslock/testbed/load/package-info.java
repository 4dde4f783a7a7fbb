/** Open-loop load tool for loopback addresses. */
package org.arbutuslock.testbed.load;
