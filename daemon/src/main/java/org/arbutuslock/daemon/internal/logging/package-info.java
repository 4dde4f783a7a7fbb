/** Writes log lines to standard output without blocking the threads that log. */
package org.arbutuslock.daemon.internal.logging;
