/** Lifecycle of a node: start, reload of settings, graceful shutdown and stop. */
package org.arbutuslock.daemon.internal.node;
