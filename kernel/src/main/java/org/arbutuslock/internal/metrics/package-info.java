/** Request statistics that use a bounded amount of memory. */
package org.arbutuslock.internal.metrics;
