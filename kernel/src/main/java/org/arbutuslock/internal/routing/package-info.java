/** Maps the method, host, path and headers of a request to a route. */
package org.arbutuslock.internal.routing;
