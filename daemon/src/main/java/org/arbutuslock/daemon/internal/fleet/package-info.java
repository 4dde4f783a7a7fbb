/** Runs the membership protocol and publishes snapshots of the fleet. */
package org.arbutuslock.daemon.internal.fleet;
