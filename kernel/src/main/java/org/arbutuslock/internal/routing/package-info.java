/** Maps the head of a request to a route. */
package org.arbutuslock.internal.routing;
