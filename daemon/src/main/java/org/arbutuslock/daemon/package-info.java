/** The node daemon, a process that runs beside each backend server. */
package org.arbutuslock.daemon;
