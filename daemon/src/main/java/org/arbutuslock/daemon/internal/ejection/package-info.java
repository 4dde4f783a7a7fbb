/** Connects detection and ejection of the kernel with the endpoints of this host. */
package org.arbutuslock.daemon.internal.ejection;
