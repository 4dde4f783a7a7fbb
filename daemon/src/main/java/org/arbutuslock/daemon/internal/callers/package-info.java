/** Entry node's side: callers' connections, choice of endpoint, retries and outcome queries. */
package org.arbutuslock.daemon.internal.callers;
