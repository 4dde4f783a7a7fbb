/** Lets nodes find each other through the platform's store. */
package org.arbutuslock.daemon.internal.rendezvous;
