/** Time budget of a graceful shutdown. */
package org.arbutuslock.daemon.internal.shutdown;
