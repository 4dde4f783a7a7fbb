/** Local fleets of nodes, stand-in backend servers and a stand-in store. */
package org.arbutuslock.testbed.fleet;
