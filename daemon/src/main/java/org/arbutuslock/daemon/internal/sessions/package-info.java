/** Sessions between nodes: one TCP connection with a hello, multiplexed streams and heartbeats. */
package org.arbutuslock.daemon.internal.sessions;
