/** Execution of one request at a home node, either in this process or over a session. */
package org.arbutuslock.daemon.internal.exchange;
