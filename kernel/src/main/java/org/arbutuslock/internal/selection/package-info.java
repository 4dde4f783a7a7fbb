/** Load balancing: selection of the endpoint that gets a request. */
package org.arbutuslock.internal.selection;
