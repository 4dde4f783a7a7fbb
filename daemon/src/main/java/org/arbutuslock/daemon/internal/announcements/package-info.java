/** HTTP interface through which backend servers announce themselves to their home node. */
package org.arbutuslock.daemon.internal.announcements;
