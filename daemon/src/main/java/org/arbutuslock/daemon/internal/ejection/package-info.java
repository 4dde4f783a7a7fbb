/** Runs health detection and ejection for the endpoints of this host. */
package org.arbutuslock.daemon.internal.ejection;
