/** Bounds the share of retries so that they cannot multiply an overload. */
package org.arbutuslock.internal.retry;
