/** Scores a backend server from real requests, probes and a comparison with its group. */
package org.arbutuslock.internal.detection;
