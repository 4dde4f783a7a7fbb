/**
 * SWIM-style membership protocol: failure detection, dissemination of updates and anti-entropy, and
 * the snapshot of the fleet from which requests are routed.
 */
package org.arbutuslock.internal.membership;
