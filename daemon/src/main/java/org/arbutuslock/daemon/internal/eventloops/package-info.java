/** Event loops that all plug-ins with sockets share. */
package org.arbutuslock.daemon.internal.eventloops;
