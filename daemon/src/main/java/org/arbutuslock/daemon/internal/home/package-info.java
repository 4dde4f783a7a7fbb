/**
 * The home node: endpoints, admission, execution of requests and connections to backend servers.
 */
package org.arbutuslock.daemon.internal.home;
