/**
 * Distributes configuration changes from node to node by gossip, so that only a few nodes of each
 * availability zone watch the store.
 */
package org.arbutuslock.internal.configuration.spread;
