/** Event loops that are shared by all plug-ins with sockets. */
package org.arbutuslock.daemon.internal.eventloops;
