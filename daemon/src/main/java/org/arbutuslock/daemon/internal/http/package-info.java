/** HTTP server for announcements and metrics. */
package org.arbutuslock.daemon.internal.http;
