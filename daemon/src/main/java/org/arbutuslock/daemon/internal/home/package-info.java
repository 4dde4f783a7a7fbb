/** Home node's side: endpoints, their admission, their record of requests and their connections. */
package org.arbutuslock.daemon.internal.home;
