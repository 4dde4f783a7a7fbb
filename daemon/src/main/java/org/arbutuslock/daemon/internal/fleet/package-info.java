/** Exchange of node records, and the snapshot of the fleet. */
package org.arbutuslock.daemon.internal.fleet;
