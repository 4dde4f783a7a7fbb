/**
 * Detects unhealthy backend servers from the outcomes of requests and probes, compared with the
 * other endpoints of the same service.
 */
package org.arbutuslock.internal.detection;
