/** Discovery of other nodes through the platform's store. */
package org.arbutuslock.daemon.internal.rendezvous;
