/** Metrics, health and readiness of a node. */
package org.arbutuslock.daemon.internal.metrics;
