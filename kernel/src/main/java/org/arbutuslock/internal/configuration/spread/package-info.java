/** Spreads configuration changes between nodes, so that only a few of them watch the store. */
package org.arbutuslock.internal.configuration.spread;
