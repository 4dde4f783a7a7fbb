/** Life of one node: start, graceful shutdown and stop. */
package org.arbutuslock.daemon.internal.node;
