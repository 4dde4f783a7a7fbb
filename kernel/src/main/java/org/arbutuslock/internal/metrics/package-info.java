/** Summaries of requests that take a bounded amount of memory. */
package org.arbutuslock.internal.metrics;
