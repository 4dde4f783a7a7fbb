/** The entry node: connections of callers, endpoint choice, retries and outcome queries. */
package org.arbutuslock.daemon.internal.callers;
