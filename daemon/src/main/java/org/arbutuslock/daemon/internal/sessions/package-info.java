/**
 * Sessions between nodes. A session is one TCP connection with a version handshake (Hello and
 * HelloReply), multiplexed streams and heartbeats.
 */
package org.arbutuslock.daemon.internal.sessions;
