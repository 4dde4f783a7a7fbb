/** Metrics, health check and readiness check of a node. */
package org.arbutuslock.daemon.internal.metrics;
