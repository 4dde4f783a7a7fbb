/** Records of nodes and endpoints, and the snapshot of the fleet that requests are routed by. */
package org.arbutuslock.internal.membership;
