/** The node daemon: one process beside each backend server. */
package org.arbutuslock.daemon;
